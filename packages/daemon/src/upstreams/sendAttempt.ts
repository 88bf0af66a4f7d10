import type { Instant } from "@pistachioway/kernel";
import type { IncomingHttpHeaders } from "node:http";
import type { Readable } from "node:stream";
import type { Dispatcher } from "undici";
import type { Connections } from "./Connections.js";
import { discardBody } from "./discardBody.js";

/** Why an attempt gave no answer. */
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
  /** Aborted when the caller is gone; absent for a request that goes on without its caller. */
  readonly signal: AbortSignal | undefined;
}

/** The head of an answer, whose body is still to be read. */
export interface AttemptResponse {
  readonly kind: "answer";
  readonly status: number;
  readonly headers: IncomingHttpHeaders;
  readonly body: Readable;
}

/** An attempt without an answer. */
export interface AttemptFailure {
  readonly kind: "failure";
  readonly class: AttemptFailureClass;
  readonly detail: string;
  /** The upstream's own word that it is leaving. */
  readonly isLeaving: boolean;
}

const unsentErrorCodes = new Set([
  "ECONNREFUSED",
  "EHOSTUNREACH",
  "ENETUNREACH",
  "EADDRNOTAVAIL",
  "UND_ERR_CONNECT_TIMEOUT",
]);
const maxRefusalBytes = 4_096;

/**
 * Sends one request to an upstream and resolves to the head of its answer or to a typed failure.
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
  const timeout = AbortSignal.timeout(Math.ceil(timeoutMilliseconds));
  try {
    const answer = await connections.getPool(request.address).request({
      method: request.method,
      path: request.path,
      headers: { ...request.headers, "x-attempt-id": request.attemptId },
      body: request.body ?? null,
      signal: request.signal === undefined ? timeout : AbortSignal.any([request.signal, timeout]),
    });
    return await validateResponse(connections, request, answer);
  } catch (error) {
    return toErrorFailure(error, timeout.aborted);
  }
}

async function validateResponse(
  connections: Connections,
  request: AttemptRequest,
  answer: Dispatcher.ResponseData,
): Promise<AttemptResponse | AttemptFailure> {
  const echoed = answer.headers["x-attempt-id"];
  if (echoed !== request.attemptId && connections.checksResponses) {
    discardBody(answer.body);
    connections.discard(request.address);
    const found = typeof echoed === "string" ? `"${echoed}"` : "none";
    return toFailure("mismatch", `answer carries attempt id ${found}`);
  }
  if (isRefusal(answer)) {
    const refusal = await readRefusal(answer);
    const detail = `upstream ${request.address} refused: ${refusal}`;
    return { ...toFailure("refused", detail), isLeaving: refusal === "leaving" };
  }
  return { kind: "answer", status: answer.statusCode, headers: answer.headers, body: answer.body };
}

/** An upstream that says `not-run` with 429 or 503 ran nothing. */
function isRefusal(answer: Dispatcher.ResponseData): boolean {
  const isRefusalStatus = answer.statusCode === 429 || answer.statusCode === 503;
  return isRefusalStatus && answer.headers["x-outcome"] === "not-run";
}

async function readRefusal(answer: Dispatcher.ResponseData): Promise<string> {
  const text = (await answer.body.text()).slice(0, maxRefusalBytes);
  try {
    const document = JSON.parse(text) as { error?: { type?: unknown } };
    return typeof document.error?.type === "string" ? document.error.type : "unspecified";
  } catch {
    return "unspecified";
  }
}

function toErrorFailure(error: unknown, isTimeout: boolean): AttemptFailure {
  const code = getErrorCode(error);
  const detail = error instanceof Error ? error.message : String(error);
  if (unsentErrorCodes.has(code)) {
    return toFailure("neverSent", detail);
  }
  return toFailure(isTimeout ? "timeout" : "lost", detail);
}

function getErrorCode(error: unknown): string {
  const code = (error as { code?: unknown } | null)?.code;
  return typeof code === "string" ? code : "";
}

function toFailure(failureClass: AttemptFailureClass, detail: string): AttemptFailure {
  return { kind: "failure", class: failureClass, detail, isLeaving: false };
}
