import { collectBody, type Instant, type MemoryBudget } from "@pistachioway/kernel";
import type { IncomingHttpHeaders } from "node:http";
import type { Readable } from "node:stream";
import type { Dispatcher } from "undici";
import { CallDeadline } from "../deadlines/index.js";
import { AnswerEnd } from "./AnswerEnd.js";
import type { Connections } from "./Connections.js";
import { discardBody } from "./discardBody.js";
import { getResponseMeaning } from "./getResponseMeaning.js";
import { isConnectFailure, isNeverSent } from "./neverSent.js";
import { WaitingRequest } from "./WaitingRequest.js";

/** Why an attempt got no response. */
export type AttemptFailureClass = "neverSent" | "refused" | "lost" | "timeout" | "mismatch";

/** A request to an upstream host. */
export interface AttemptRequest {
  readonly attemptId: string;
  readonly address: string;
  readonly method: Dispatcher.HttpMethod;
  readonly path: string;
  readonly headers: Readonly<Record<string, string>>;
  readonly body: Uint8Array | undefined;
  readonly deadline: Instant;
  /**
   * Aborted when the caller disconnects; absent for a request that continues without its caller.
   */
  readonly signal: AbortSignal | undefined;
}

/** The head of a response, whose body is still unread. */
export interface AttemptResponse {
  readonly kind: "answer";
  readonly status: number;
  readonly headers: IncomingHttpHeaders;
  readonly body: Readable;
  /** Memory that bodies are kept in until they are complete. */
  readonly memory: MemoryBudget;
  /**
   * Reads the body to the end of the answer. Returns undefined when it is interrupted, too large, or may lack its last part.
   * @param maxBytes - Size of the largest body to accept.
   */
  readonly readBody: (maxBytes: number) => Promise<Buffer | undefined>;
}

/** An attempt that got no response. */
export interface AttemptFailure {
  readonly kind: "failure";
  readonly class: AttemptFailureClass;
  readonly detail: string;
  /** Status of the answer; undefined when there was none. */
  readonly status?: number;
  /** True when no connection to the upstream could be opened. */
  readonly hasConnectFailed?: boolean;
  /** True when the upstream stated in its refusal that it is leaving the fleet. */
  readonly isLeaving: boolean;
}

const refusalLimits = { maxBytes: 65_536, maxPieces: 1_024 };

/**
 * Sends a request to an upstream and resolves to the head of the response or to a typed failure.
 * @param connections - Connections to the upstreams.
 * @param request - Request to send.
 * @param getNow - Reads the clock.
 */
export async function sendAttempt(
  connections: Connections,
  request: AttemptRequest,
  getNow: () => Instant,
): Promise<AttemptResponse | AttemptFailure> {
  const timeoutMilliseconds = request.deadline - getNow();
  if (timeoutMilliseconds <= 0) {
    return toFailure("neverSent", "deadline had passed before the attempt");
  }
  const deadline = CallDeadline.create(timeoutMilliseconds, request.signal);
  const end = AnswerEnd.create(connections, request.address);
  try {
    const pool = connections.getPool(request.address);
    const response = await WaitingRequest.create(pool, deadline.signal).send({
      method: request.method,
      path: request.path,
      headers: { ...request.headers, "x-attempt-id": request.attemptId },
      body: request.body ?? null,
    });
    response.body.once("close", () => {
      deadline.release();
    });
    return await validateResponse(connections, request, response, end);
  } catch (error) {
    deadline.release();
    return toErrorFailure(error, deadline.hasPassed());
  }
}

async function validateResponse(
  connections: Connections,
  request: AttemptRequest,
  response: Dispatcher.ResponseData,
  end: AnswerEnd,
): Promise<AttemptResponse | AttemptFailure> {
  const meaning = getResponseMeaning(response, request.attemptId);
  if (meaning === "refusal") {
    return await toRefusal(connections, request, response);
  }
  if (meaning === "foreign" && connections.checksResponses) {
    connections.discard(request.address);
    return toForeignFailure(response);
  }
  if (meaning === "unproven" && connections.checksResponses) {
    return toUnprovenFailure(request, response);
  }
  const { statusCode: status, headers, body } = response;
  const { memory } = connections;
  const head = { method: request.method, status, headers };
  const readBody = (maxBytes: number): Promise<Buffer | undefined> =>
    end.readBody(head, { body, memory }, maxBytes);
  return { kind: "answer", status, headers, body, memory, readBody };
}

async function toRefusal(
  { memory }: Connections,
  { address }: AttemptRequest,
  response: Dispatcher.ResponseData,
): Promise<AttemptFailure> {
  const refusal = await readRefusal(response, memory);
  const detail = `upstream ${address} refused: ${refusal}`;
  return { ...toFailure("refused", detail), isLeaving: refusal === "leaving" };
}

/** Discards the answer to another request. */
function toForeignFailure(response: Dispatcher.ResponseData): AttemptFailure {
  discardBody(response.body);
  const found = JSON.stringify(response.headers["x-attempt-id"] ?? "");
  return toFailure("mismatch", `answer carries attempt id ${found}`);
}

/** Discards an answer that must not be passed on: its status contradicts what it states. */
function toUnprovenFailure(
  { address }: AttemptRequest,
  response: Dispatcher.ResponseData,
): AttemptFailure {
  discardBody(response.body);
  const { statusCode: status } = response;
  const outcome = JSON.stringify(response.headers["x-outcome"] ?? "");
  const detail = `upstream ${address} answered ${String(status)} with outcome ${outcome}`;
  return { ...toFailure("lost", detail), status };
}

/** Reads why a request was refused; a body that is too large names no reason. Rejects when it is interrupted. */
async function readRefusal(
  { body }: Dispatcher.ResponseData,
  memory: MemoryBudget,
): Promise<string> {
  const content = await collectBody(body, refusalLimits, memory);
  const text = content.toString("utf8");
  try {
    const document = JSON.parse(text) as { error?: { type?: unknown } };
    return typeof document.error?.type === "string" ? document.error.type : "unspecified";
  } catch {
    return "unspecified";
  }
}

function toErrorFailure(error: unknown, isTimeout: boolean): AttemptFailure {
  const detail = error instanceof Error ? error.message : String(error);
  if (isNeverSent(error)) {
    return { ...toFailure("neverSent", detail), hasConnectFailed: isConnectFailure(error) };
  }
  return toFailure(isTimeout ? "timeout" : "lost", detail);
}

function toFailure(failureClass: AttemptFailureClass, detail: string): AttemptFailure {
  return { kind: "failure", class: failureClass, detail, isLeaving: false };
}
