import type { RequestRoute } from "../routing/index.js";

/** How an attempt at an upstream ended without an answer to relay. */
export type AttemptEnd =
  /** No connection was made, so nothing was sent. */
  | "notSent"
  /** The upstream says that it did not run the request. */
  | "refused"
  /** The connection broke, or carried something that is not this request's answer. */
  | "lost"
  /** Nothing came in the time after which another upstream is likely to be sooner. */
  | "late"
  /** The upstream answered that it failed. */
  | "failed";

/** What has been done for a request so far. */
export interface RequestProgress {
  /** Attempts that may have run, the last one included. */
  readonly runs: number;
  /** Attempts that surely did not run, the last one included. */
  readonly refusals: number;
  /** Time left until the request's deadline, in milliseconds. */
  readonly remainingMilliseconds: number;
}

/** What follows an attempt that gave no answer. */
export type RetryDecision = "retry" | "giveUp";

/** Attempts that surely did not run and are made for one request. */
const maxRefusals = 3;

/** Time that a further attempt needs to be of use. */
const minRemainingMilliseconds = 30;

/**
 * Tells whether a request may run more than once.
 * @param route - RequestRoute of the request.
 */
export function isRepeatable(route: RequestRoute): boolean {
  return route.kind === "idempotent" || (route.kind === "stream" && route.isResumable);
}

/**
 * Decides what follows an attempt that gave no answer.
 * @param route - RequestRoute of the request.
 * @param end - How the attempt ended.
 * @param progress - What has been done so far.
 * @param spendRetry - Takes one repeat from the fleet's budget and tells whether there was one.
 */
export function decideRetry(
  route: RequestRoute,
  end: AttemptEnd,
  progress: RequestProgress,
  spendRetry: () => boolean,
): RetryDecision {
  const surelyNotRun = end === "notSent" || end === "refused";
  if (!surelyNotRun && !isRepeatable(route)) {
    return "giveUp";
  }
  if (progress.runs >= route.maxAttempts || progress.refusals >= maxRefusals) {
    return "giveUp";
  }
  if (progress.remainingMilliseconds < minRemainingMilliseconds) {
    return "giveUp";
  }
  // What never reached an upstream is no repeat.
  return end === "notSent" || spendRetry() ? "retry" : "giveUp";
}
