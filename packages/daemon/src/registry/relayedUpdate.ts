import {
  collectText,
  routingSchema,
  upstreamSchema,
  type RegistryChange,
} from "@pistachioway/kernel";
import { get, type Agent } from "node:http";
import { z } from "zod";
import { CallDeadline } from "../deadlines/index.js";

const responseTimeoutMilliseconds = 300;
const okStatus = 200;

/** Path of the changes of the registry on a daemon's listener for operators and peers. */
export const registryChangesPath = "/registry-changes";

const changeSchema = z.discriminatedUnion("kind", [
  z.object({
    kind: z.literal("routing"),
    routing: routingSchema,
    faults: z.array(z.string()).readonly(),
  }),
  z.object({ kind: z.literal("routingInvalid"), detail: z.string() }),
  z.object({ kind: z.literal("upstream"), upstream: upstreamSchema }),
  z.object({ kind: z.literal("upstreamGone"), id: z.string() }),
  z.object({ kind: z.literal("upstreamInvalid"), id: z.string(), detail: z.string() }),
  z.object({ kind: z.literal("zoneEvacuated"), zone: z.string() }),
  z.object({ kind: z.literal("zoneReturned"), zone: z.string() }),
]) satisfies z.ZodType<RegistryChange>;

/** Changes of the registry as a daemon tells them to a peer that follows it. */
export const relayedUpdateSchema = z.object({
  changes: z.array(changeSchema).readonly(),
  position: z.number(),
  era: z.int().optional(),
  /** Time between the last confirmation that the content is the newest and the answer. */
  ageMilliseconds: z.number().min(0),
});

export type RelayedUpdate = z.infer<typeof relayedUpdateSchema>;

/**
 * Requests the changes that a peer has read from the registry. Rejects when the answer is late or malformed, or when the
 * peer does not know all of them.
 * @param address - Address of the peer's listener for operators and peers.
 * @param position - Position after which the changes are needed.
 * @param agent - Keeps the connection to the peer.
 * @param signal - Cancels the call.
 */
export async function fetchRelayedUpdate(
  address: string,
  position: number,
  agent: Agent,
  signal: AbortSignal,
): Promise<RelayedUpdate> {
  const url = `http://${address}${registryChangesPath}?after=${String(position)}`;
  const deadline = CallDeadline.create(responseTimeoutMilliseconds, signal);
  try {
    const text = await fetchText(url, agent, deadline.signal);
    return relayedUpdateSchema.parse(JSON.parse(text));
  } finally {
    deadline.release();
  }
}

async function fetchText(url: string, agent: Agent, signal: AbortSignal): Promise<string> {
  return new Promise((resolve, reject) => {
    const request = get(url, { agent, signal }, (response) => {
      if (response.statusCode === okStatus) {
        collectText(response).then(resolve, reject);
      } else {
        response.resume();
        reject(new Error(`status ${String(response.statusCode)} from ${url}`));
      }
    });
    request.on("error", reject);
  });
}
