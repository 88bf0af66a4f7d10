import type { Attempt } from "./Attempt.js";

/**
 * Checks whether a request that is ended now may have run.
 * @param runs - Attempts that may have run; the attempt in flight is one of them, unless it was refused.
 * @param attempt - Attempt in flight; undefined when there is none.
 */
export function mayHaveRun(
  runs: number,
  attempt: Pick<Attempt, "mayHaveRun"> | undefined,
): boolean {
  return runs > 1 || (attempt?.mayHaveRun() ?? runs > 0);
}
