import type { Instant } from "../kernel/index.js";
import { getCallerRetryInstant, getRetryInstant } from "./backoff.js";
import { spendRetry } from "./budget.js";
import type { FailureMessage, RetriesEffect } from "./messages.js";
import { NotRepeatableError } from "./NotRepeatableError.js";
import type { RetriesError } from "./RetriesError.js";
import { RetryBudgetExhaustedError } from "./RetryBudgetExhaustedError.js";
import { RetryDeadlineError } from "./RetryDeadlineError.js";
import {
  addFailedRequest,
  isGuardEnabled,
  type FailedRequest,
  type RetriesState,
} from "./state.js";
import { StreamBrokenError } from "./StreamBrokenError.js";
import { TooManyAttemptsError } from "./TooManyAttemptsError.js";

/** Maximum number of attempts of one request, including the first. */
export const maxAttempts = 3;

/** Maximum number of consecutive resumes of a stream without progress. */
export const maxResumes = 2;

/**
 * Decides whether a request is sent again, resumed or failed after a failed attempt.
 * @param state - State to update.
 * @param message - The failure.
 * @param now - Time of the failure.
 */
export function decideFailure(
  state: RetriesState,
  message: FailureMessage,
  now: Instant,
): RetriesEffect {
  const request = addFailedRequest(state, message.requestId);
  request.mayHaveRun ||= mayHaveRun(message);
  request.exclude.add(message.host);
  const at = getRetryInstant(state.seed, message.requestId, message.attempt, now);
  if (message.firstByteSent && isGuardEnabled(state, "retry-first-byte")) {
    return decideBrokenStream(state, request, message, at, now);
  }
  const error = getRetryError(state, message, at);
  if (error !== undefined) {
    return failRequest(state, request, message, error, now);
  }
  return { kind: "retry", requestId: message.requestId, at, exclude: [...request.exclude] };
}

function mayHaveRun(message: FailureMessage): boolean {
  return message.firstByteSent || !isSurelyNotRun(message);
}

function isSurelyNotRun(message: FailureMessage): boolean {
  return message.class === "neverSent" || message.class === "refused";
}

/** Gets the reason why the request must not be sent again; spends budget only if there is none. */
function getRetryError(
  state: RetriesState,
  message: FailureMessage,
  at: Instant,
): RetriesError | undefined {
  const { requestId, attempt } = message;
  const mayRepeat = message.repeatable || isSurelyNotRun(message);
  if (!mayRepeat && isGuardEnabled(state, "retry-repeatable")) {
    return new NotRepeatableError(requestId, attempt);
  }
  if (attempt >= maxAttempts) {
    return new TooManyAttemptsError(requestId, attempt);
  }
  if (at >= message.deadline) {
    return new RetryDeadlineError(requestId, attempt);
  }
  if (!spendRetry(state.budget) && isGuardEnabled(state, "retry-budget")) {
    return new RetryBudgetExhaustedError(requestId, attempt);
  }
  return undefined;
}

function decideBrokenStream(
  state: RetriesState,
  request: FailedRequest,
  message: FailureMessage,
  at: Instant,
  now: Instant,
): RetriesEffect {
  const offset = message.resumeOffset;
  if (offset === undefined || !canResume(request, message, offset, at)) {
    const error = new StreamBrokenError(message.requestId, message.attempt);
    return failRequest(state, request, message, error, now);
  }
  request.resumes += 1;
  request.resumeOffset = offset;
  return { kind: "resume", requestId: message.requestId, host: message.host, at, offset };
}

function canResume(
  request: FailedRequest,
  message: FailureMessage,
  offset: number,
  at: Instant,
): boolean {
  if (offset > request.resumeOffset) {
    request.resumes = 0;
  }
  const isOpen = message.class !== "refused" && message.class !== "mismatch";
  return isOpen && request.resumes < maxResumes && at < message.deadline;
}

function failRequest(
  state: RetriesState,
  request: FailedRequest,
  message: FailureMessage,
  error: RetriesError,
  now: Instant,
): RetriesEffect {
  const { requestId } = message;
  state.failedRequests.delete(requestId);
  const callerRetryAt = getCallerRetryInstant(state.seed, requestId, now);
  return {
    kind: "giveUp",
    requestId,
    error,
    outcome: request.mayHaveRun ? "unknown" : "not-run",
    retryAt: Math.max(callerRetryAt, message.retryAfter ?? 0),
  };
}
