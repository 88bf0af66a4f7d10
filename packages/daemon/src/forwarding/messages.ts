import { routeSchema } from "@pistachioway/kernel";
import { Packr } from "msgpackr";
import { z } from "zod";

/** Header that carries a forwarded request without its body. */
export const forwardedRequestHeader = "forwarded-request";
/** Header that carries a response to a forwarded request without its body. */
export const forwardedResponseHeader = "forwarded-response";
/** Path on which forwarded requests are accepted. */
export const forwardingPath = "/requests";

/** Size of the largest head of a message between daemons: headers of the largest request, encoded as text. */
export const maxForwardedHeadBytes = 262_144;
const maxUpstreamIds = 16;

const headSchema = z.object({
  id: z.string(),
  authority: z.string(),
  key: z.string().optional(),
  callerTimeoutMilliseconds: z.number().optional(),
  promptBlocks: z.array(z.object({ id: z.string(), tokens: z.number() })),
  /** Earlier builds do not tell it. */
  tokens: z.object({ prompt: z.number(), maxOutput: z.number() }).optional(),
  lastEventId: z.string().optional(),
  resumedRequestId: z.string().optional(),
  passedHeaders: z.array(z.string()),
});

/** A request that a daemon asks a peer to send to an upstream, without its body. */
export const forwardedRequestSchema = z.object({
  /** Name of the daemon that received the request from its caller. */
  sender: z.string().min(1),
  /** Version of the configuration under which that daemon approved it. */
  version: z.int().min(0),
  /** Head as it came from the caller. */
  head: headSchema,
  /** Id of the last event that the caller has received meanwhile. */
  lastEventId: z.string().optional(),
  method: z.string().min(1),
  path: z.string().min(1),
  hasBody: z.boolean(),
  bodyBytes: z.int().min(0),
  route: routeSchema,
  /** Team that the caller's key belongs to. */
  team: z.object({ name: z.string(), priority: z.int().min(0).optional() }).optional(),
  service: z.string().min(1),
  /** Only software version whose upstreams may serve it. */
  softwareVersion: z.string().optional(),
  /** Ids of upstreams that it was sent to before. */
  triedUpstreams: z.array(z.string()).max(maxUpstreamIds),
  remainingMilliseconds: z.number().positive(),
});

const answerSchema = z.object({
  kind: z.literal("answer"),
  status: z.int(),
  requestId: z.string(),
  passedHeaders: z.array(z.string()),
  isFramed: z.boolean(),
  /** Id of the upstream that sent it. */
  upstream: z.string(),
  softwareVersion: z.string(),
  /** Whether the upstream announces that it leaves. */
  isLeaving: z.boolean(),
});

const forwardedRefusalSchema = z.object({
  kind: z.literal("refusal"),
  /** Id of the refused request; earlier builds do not tell it. */
  requestId: z.string().optional(),
  name: z.string(),
  detail: z.string(),
  retryAfterSeconds: z.number().optional(),
  /** What is certain of the request: it was sent to no upstream, upstreams refused it, or it may have run. */
  end: z.enum(["notSent", "refused", "lost"]),
});

/** Head of the response to a forwarded request: that of an upstream, or a refusal of the peer. */
export const forwardedResponseSchema = z.discriminatedUnion("kind", [
  answerSchema,
  forwardedRefusalSchema,
]);

export type ForwardedRequest = z.infer<typeof forwardedRequestSchema>;
export type ForwardedResponse = z.infer<typeof forwardedResponseSchema>;
export type ForwardedAnswer = z.infer<typeof answerSchema>;
export type ForwardedRefusal = z.infer<typeof forwardedRefusalSchema>;

const packr = new Packr({ useRecords: false });

/** Encodes the head of a message as the value of a header. */
export function encodeHead(head: ForwardedRequest | ForwardedResponse): string {
  return packr.pack(head).toString("base64url");
}

/**
 * Decodes the head of a forwarded request.
 * @param text - Value of its header.
 * @returns Undefined when it is malformed.
 */
export function decodeForwardedRequest(text: string | undefined): ForwardedRequest | undefined {
  return forwardedRequestSchema.safeParse(unpack(text)).data;
}

/**
 * Decodes the head of the response to a forwarded request.
 * @param text - Value of its header.
 * @returns Undefined when it is malformed.
 */
export function decodeForwardedResponse(text: string | undefined): ForwardedResponse | undefined {
  return forwardedResponseSchema.safeParse(unpack(text)).data;
}

function unpack(text: string | undefined): unknown {
  try {
    return text === undefined ? undefined : packr.unpack(Buffer.from(text, "base64url"));
  } catch {
    return undefined;
  }
}
