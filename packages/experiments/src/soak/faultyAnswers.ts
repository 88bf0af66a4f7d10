import { sendEndless, type ReceivedRequest } from "@pistachioway/standins";
import type { OutgoingHttpHeaders, ServerResponse } from "node:http";
import type { Random } from "../bench/Random.js";
import { getBody } from "./bodies.js";
import { resetBehindPiece } from "./resetAnswers.js";
import type { UpstreamMode } from "./upstreamModes.js";

/** A request that has run, and what its faulty answer depends on. */
export interface FaultContext {
  /** Id of the call, which is in the response's stamp and body. */
  readonly callId: string;
  readonly request: Pick<ReceivedRequest, "id" | "path" | "lastEventId">;
  /** Upstream that answers. */
  readonly source: string;
  readonly response: ServerResponse;
  readonly random: Random;
  /** Answers the request as it should be. */
  readonly answer: () => void;
}

/** Statuses that promise that a request did not run. */
export const promiseStatuses: readonly number[] = [408, 421, 429, 503];
const badRequestStatus = 400;
const okStatus = 200;
const resultStatuses: readonly number[] = [okStatus, 500];
const strayStatuses: readonly number[] = [badRequestStatus, ...promiseStatuses];
/** Time from a stray refusal to the answer that was due. */
const strayMilliseconds = 20;
/** Rate of each answer without end, so that many of them leave the soak's own process time. */
const endlessBytesPerSecond = 6_000_000;
const endlessError = {
  status: 500,
  contentType: "application/json",
  bytesPerSecond: endlessBytesPerSecond,
};

/** Answers to requests that have run, by the mode of their upstream. */
export const faultyAnswers: Readonly<
  Partial<Record<UpstreamMode, (context: FaultContext) => void>>
> = {
  unproven: (context) => {
    respond(context, pick(promiseStatuses, context.random), {});
  },
  "unproven-torn": breakAfterHead,
  "stray-foreign": (context) => {
    writeStrayRefusal(context, `Request-Id: other-${context.request.id}\r\n`);
  },
  "stray-nameless": (context) => {
    writeStrayRefusal(context, "");
  },
  "stray-earlier": (context) => {
    writeStrayRefusal(context, `Request-Id: ${context.request.id}\r\n`);
  },
  "stated-result": stateNotRunOnResult,
  "stated-empty": (context) => {
    respond(context, pick(promiseStatuses, context.random), { "not-run": "" });
  },
  "stated-twice": (context) => {
    respond(context, pick(promiseStatuses, context.random), { "not-run": ["1", "1"] });
  },
  endless: ({ request, response }) => {
    sendEndless({ ...endlessError, pieceBytes: 4 })(request, response);
  },
  "endless-event": sendEndlessEvent,
  "reset-unframed": resetBehindPiece,
};

/** Responds with a complete body and the stamp of the run. */
function respond(
  { callId, request, response }: FaultContext,
  status: number,
  headers: OutgoingHttpHeaders,
): void {
  const body = getBody(callId);
  const own = { "request-id": request.id, "response-stamp": `stamp-${callId}` };
  response.writeHead(status, { ...own, ...headers, "content-length": body.length }).end(body);
}

/** Answers as it should be, or with status 500, and states that the request did not run. */
function stateNotRunOnResult(context: FaultContext): void {
  const status = pick(resultStatuses, context.random);
  context.response.setHeader("not-run", "1");
  if (status === okStatus) {
    context.answer();
  } else {
    respond(context, status, {});
  }
}

/** Sends a stream that another upstream may resume without an event, and any other answer as an error. */
function sendEndlessEvent({ callId, request, response }: FaultContext): void {
  const stream = {
    status: okStatus,
    contentType: "text/event-stream",
    stamp: `stamp-${callId}`,
    pieceBytes: 65,
    bytesPerSecond: endlessBytesPerSecond,
  };
  const isResumable = request.path.startsWith("/stream/");
  sendEndless(isResumable ? stream : { ...endlessError, pieceBytes: 60_000 })(request, response);
}

/** Writes a head that announces a body, and closes the connection. */
function breakAfterHead({ callId, request, response, random }: FaultContext): void {
  const status = pick(promiseStatuses, random);
  response.socket?.end(
    `HTTP/1.1 ${String(status)} X\r\nRequest-Id: ${request.id}\r\nResponse-Stamp: stamp-${callId}\r\n` +
      `Content-Length: ${String(getBody(callId).length)}\r\n\r\n`,
  );
}

/** Writes a refusal that is not that of the request, and answers the request later. */
function writeStrayRefusal({ response, random, answer }: FaultContext, idLine: string): void {
  const status = pick(strayStatuses, random);
  response.socket?.write(
    `HTTP/1.1 ${String(status)} X\r\n${idLine}Not-Run: 1\r\nContent-Length: 0\r\n\r\n`,
  );
  setTimeout(answer, strayMilliseconds);
}

function pick(statuses: readonly number[], random: Random): number {
  return statuses[random.getIndex(statuses.length)] ?? badRequestStatus;
}
