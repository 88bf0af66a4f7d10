import type { ActsEffect } from "./messages.js";
import type { ActConclusion, ActOutcome } from "./schema.js";
import { reject, type ActRecord, type ActsState } from "./state.js";

const recordOverheadBytes = 512;
const reservedAnswerBytes = 2048;

/** Gets the outcome that is reported to callers for a concluded act. */
export function getActOutcome(conclusion: ActConclusion): ActOutcome {
  switch (conclusion.state) {
    case "done":
      return "complete";
    case "refused":
      return "not-run";
    case "unknown":
      return "unknown";
  }
}

/** Gets the bytes that a new record reserves until its answer is known. */
export function getReservedBytes(): number {
  return recordOverheadBytes + reservedAnswerBytes;
}

/** Gets the bytes that a concluded record is counted with. */
export function getConcludedBytes(conclusion: ActConclusion): number {
  if (conclusion.state !== "done" || conclusion.answer === undefined) {
    return recordOverheadBytes;
  }
  const { headers, body } = conclusion.answer;
  const headerBytes = headers.reduce((sum, { name, value }) => sum + name.length + value.length, 0);
  return recordOverheadBytes + 2 * headerBytes + body.byteLength;
}

/** Counts the next attempt of a record and creates its effect. */
export function startAttempt(record: ActRecord, requestId: string): ActsEffect {
  record.attempts += 1;
  record.attemptId = `${record.actId}/${String(record.attempts)}`;
  const { actId, attemptId, key, service } = record;
  return { kind: "send", requestId, actId, attemptId, key, service };
}

/** Answers a request from a concluded record. */
export function answerRequest(
  requestId: string,
  actId: string,
  conclusion: ActConclusion,
): ActsEffect {
  if (conclusion.state === "done" && conclusion.answer === undefined) {
    const message = `act "${actId}" was run, but its answer was too large to be kept`;
    return reject(requestId, "act-answer-not-kept", "unknown", message);
  }
  return { kind: "answer", requestId, actId, record: conclusion };
}

/**
 * Stores the conclusion of a running act and answers all requests that are waiting for it.
 * @param conclusion - Final state. An answer beyond the memory limit is sent to the waiting
 *   callers, but not stored.
 */
export function concludeRecord(
  state: ActsState,
  record: ActRecord,
  conclusion: ActConclusion,
): ActsEffect[] {
  const waiters = record.waiters;
  record.waiters = [];
  storeConclusion(state, record, conclusion);
  state.running.delete(record.actId);
  return waiters.map(({ requestId }) => answerRequest(requestId, record.actId, conclusion));
}

function storeConclusion(state: ActsState, record: ActRecord, conclusion: ActConclusion): void {
  const bytes = getConcludedBytes(conclusion);
  const isKept = state.bytes - record.bytes + bytes <= state.limits.maxBytes;
  record.conclusion = isKept ? conclusion : { state: "done" };
  const keptBytes = getConcludedBytes(record.conclusion);
  state.bytes += keptBytes - record.bytes;
  record.bytes = keptBytes;
}
