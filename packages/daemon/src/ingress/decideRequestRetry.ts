import { decideRetry, type AttemptEnd, type RetryDecision } from "@pistachioway/kernel";
import type { AcceptedRequest } from "./AcceptedRequest.js";
import type { ActiveRequestDependencies } from "./ActiveRequestDependencies.js";

/** Attempts of a request so far. */
export interface AttemptCounts {
  /** Attempts that may have run. */
  readonly runs: number;
  /** Attempts that have certainly not run. */
  readonly refusals: number;
}

/**
 * Decides whether a request is sent again after a failed attempt, and spends the retry budget for it.
 * @param dependencies - Dependencies of the request's processing.
 * @param request - The request.
 * @param end - How the attempt ended.
 * @param counts - Attempts so far.
 */
export function decideRequestRetry(
  { retryBudgets, getNow, getDaemonCount }: ActiveRequestDependencies,
  { approval, deadline, service }: AcceptedRequest,
  end: AttemptEnd,
  { runs, refusals }: AttemptCounts,
): RetryDecision {
  const now = getNow();
  const progress = { runs, refusals, remainingMilliseconds: deadline - now };
  return decideRetry(approval.route, end, progress, () =>
    retryBudgets.get(service).spendRetry(now, getDaemonCount()),
  );
}
