import { createBudget, type Budget } from "./budget.js";
import type { RetryGuard } from "./messages.js";

const defaultBudgetRatio = 0.1;

/** A request with at least one failed attempt that has not ended. */
export interface FailedRequest {
  /** True when any attempt so far may have run. */
  mayHaveRun: boolean;
  /** Hosts at which an attempt failed. */
  readonly exclude: Set<string>;
  /** Number of resumes since the stream last made progress. */
  resumes: number;
  resumeOffset: number;
}

export interface RetriesState {
  readonly seed: number;
  disabledGuards: readonly RetryGuard[];
  readonly budget: Budget;
  readonly failedRequests: Map<string, FailedRequest>;
}

/**
 * Creates the initial state.
 * @param seed - Seed of the jitter.
 */
export function createRetriesState(seed: number): RetriesState {
  return {
    seed,
    disabledGuards: [],
    budget: createBudget(defaultBudgetRatio),
    failedRequests: new Map(),
  };
}

/**
 * Gets the entry of a failed request, and adds it on the first failure.
 * @param state - State to read or update.
 * @param requestId - Id of the request.
 */
export function addFailedRequest(state: RetriesState, requestId: string): FailedRequest {
  const known = state.failedRequests.get(requestId);
  if (known !== undefined) {
    return known;
  }
  const added = { mayHaveRun: false, exclude: new Set<string>(), resumes: 0, resumeOffset: -1 };
  state.failedRequests.set(requestId, added);
  return added;
}

/**
 * Checks whether a guard is on.
 * @param state - State to read.
 * @param guard - Guard to check.
 */
export function isGuardEnabled(state: RetriesState, guard: RetryGuard): boolean {
  return !state.disabledGuards.includes(guard);
}
