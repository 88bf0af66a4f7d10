import type { Instant } from "../kernel/index.js";
import { releaseWhenIdle } from "./handOver.js";
import type { ActAttempted, ActsEffect, AttemptResult } from "./messages.js";
import { concludeRecord, startAttempt } from "./records.js";
import type { ActConclusion } from "./schema.js";
import { isGuardEnabled, type ActRecord, type ActsState } from "./state.js";

/**
 * Concludes an act by the result of its attempt, or sends it to another host if it is certain that
 * it did not run.
 */
export function handleAttempted(
  state: ActsState,
  message: ActAttempted,
  now: Instant,
): ActsEffect[] {
  const record = state.running.get(message.actId);
  if (record === undefined || isStale(state, record, message)) {
    return [];
  }
  const conclusion = getConclusion(state, message.result);
  const waiter = record.waiters.find(({ deadline }) => deadline > now);
  const isRetryAllowed = message.hasOtherHost && record.attempts < state.limits.maxAttempts;
  if (conclusion.state === "refused" && isRetryAllowed && waiter !== undefined) {
    return [startAttempt(record, waiter.requestId)];
  }
  const answers = concludeRecord(state, record, conclusion);
  const holding = state.holdings.get(record.holdingId);
  return holding === undefined ? answers : [...answers, ...releaseWhenIdle(state, holding)];
}

function isStale(state: ActsState, record: ActRecord, message: ActAttempted): boolean {
  return isGuardEnabled(state, "act-attempt-id") && record.attemptId !== message.attemptId;
}

function getConclusion(state: ActsState, result: AttemptResult): ActConclusion {
  switch (result.kind) {
    case "answered":
      return { state: "done", answer: result.answer };
    case "never-sent":
    case "refused-by-upstream":
      return { state: "refused", reason: result.kind };
    case "lost":
      return isGuardEnabled(state, "act-lost-unknown")
        ? { state: "unknown" }
        : { state: "refused", reason: "never-sent" };
  }
}
