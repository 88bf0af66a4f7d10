import type { AttemptFailure } from "./sendAttempt.js";

/**
 * Checks whether a request may have run at the upstream of a failed attempt.
 * @param failure - Failure of the attempt.
 */
export function mayHaveRun(failure: AttemptFailure): boolean {
  return failure.class !== "neverSent" && failure.class !== "refused";
}
