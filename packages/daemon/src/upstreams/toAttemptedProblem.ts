import { Problem } from "../errors/index.js";

/**
 * Gets the failure to report when a request cannot be sent again and an earlier attempt may have
 * run: it does not state that the request did not run.
 * @param error - Why the request cannot be sent again.
 */
export function toAttemptedProblem(error: unknown): unknown {
  return error instanceof Problem
    ? Problem.create("upstream-failed", error.detail, "unknown", error.retryAt)
    : error;
}
