import type { RequestRoute } from "../routing/index.js";

/** How an attempt ended without a response that can be relayed. */
export type AttemptEnd =
  /** No connection was made, so nothing was sent. */
  | "notSent"
  /** The upstream stated that it did not run the request. */
  | "refused"
  /** The connection broke, or what came is not a response to this request. */
  | "lost"
  /** No response arrived in the time after which another upstream is likely to be faster. */
  | "late"
  /** The upstream responded with an error. */
  | "failed";

/** Attempts of a request so far, and the time left. */
export interface RequestProgress {
  /** Attempts that may have run, including the last one. */
  readonly runs: number;
  /** Attempts that certainly did not run, including the last one. */
  readonly refusals: number;
  /** Time until the request's deadline. */
  readonly remainingMilliseconds: number;
}

/** Whether a request is sent again after a failed attempt. */
export type RetryDecision = "retry" | "giveUp";

/** Maximum number of attempts of one request that certainly did not run. */
const maxRefusals = 3;

/** Minimum time until the deadline with which a further attempt can still succeed. */
const minRemainingMilliseconds = 30;

/**
 * Checks whether a request may run more than once.
 * @param route - Route of the request.
 */
export function isRepeatable(route: RequestRoute): boolean {
  return route.kind === "idempotent" || (route.kind === "stream" && route.isResumable);
}

/**
 * Decides whether a request is sent again after a failed attempt.
 * @param route - Route of the request.
 * @param end - How the attempt ended.
 * @param progress - Attempts so far, and the time left.
 * @param spendRetry - Spends one retry of the service's budget; returns false when it is exhausted.
 */
export function decideRetry(
  route: RequestRoute,
  end: AttemptEnd,
  progress: RequestProgress,
  spendRetry: () => boolean,
): RetryDecision {
  const isNotRun = end === "notSent" || end === "refused";
  if (!isNotRun && !isRepeatable(route)) {
    return "giveUp";
  }
  if (progress.runs >= route.maxAttempts || progress.refusals >= maxRefusals) {
    return "giveUp";
  }
  if (progress.remainingMilliseconds < minRemainingMilliseconds) {
    return "giveUp";
  }
  // A request that never reached an upstream is sent again without spending budget.
  return end === "notSent" || spendRetry() ? "retry" : "giveUp";
}
