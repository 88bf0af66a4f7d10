import type { ReceivedHead } from "@pistachioway/standins";
import type { ServerResponse } from "node:http";
import type { Random } from "../bench/Random.js";
import { getBody } from "./bodies.js";
import { promiseStatuses } from "./faultyAnswers.js";

/** What an upstream writes before it has read the body: a result, a promise that is false, or a refusal that holds. */
const earlyKinds = ["result", "promise", "refusal"] as const;
const resultStatus = 200;
const refusalStatus = 503;
/** Longest time from the answer until the rest of the body is read. */
const maxReadDelayMilliseconds = 30;

/**
 * Writes an answer to a request whose body is not read yet; the response is ended later.
 * @param callId - Id of the call.
 * @param head - The request.
 * @param response - Response to write.
 * @param random - Decides what the answer says.
 * @returns Time after which the body is read, in milliseconds.
 */
export function writeEarlyAnswer(
  callId: string,
  head: ReceivedHead,
  response: ServerResponse,
  random: Random,
): number {
  const kind = earlyKinds[random.getIndex(earlyKinds.length)];
  const body = kind === "refusal" ? "" : getBody(callId);
  response.setHeader("request-id", head.id);
  response.setHeader("content-length", body.length);
  if (kind === "refusal") {
    response.setHeader("not-run", "1");
  } else {
    response.setHeader("response-stamp", `stamp-${callId}`);
  }
  const promiseStatus = promiseStatuses[random.getIndex(promiseStatuses.length)] ?? refusalStatus;
  const statuses = { result: resultStatus, promise: promiseStatus, refusal: refusalStatus };
  response.writeHead(statuses[kind ?? "refusal"]);
  response.flushHeaders();
  if (body !== "") {
    response.write(body);
  }
  return random.getIndex(maxReadDelayMilliseconds);
}

/**
 * Checks whether an early answer stated that its request is not run.
 * @param response - Response whose head is written.
 */
export function isEarlyRefusal(response: ServerResponse): boolean {
  return response.hasHeader("not-run");
}
