import { createBudget, type Budget } from "./budget.js";
import type { RetryGuard } from "./messages.js";

const defaultBudgetRatio = 0.1;

/** A request that failed at least once and has not ended. */
export interface FailedRequest {
  /** True when any attempt so far may have run. */
  mayHaveRun: boolean;
  readonly exclude: Set<string>;
  /** Resumes since the stream last made progress. */
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
 * Creates the state of a daemon without requests.
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
 * Gets the record of a failed request, and adds it on its first failure.
 * @param state - State to look in.
 * @param requestId - Request that failed.
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
 * Tells whether a guard is on.
 * @param state - State to read.
 * @param guard - Guard in question.
 */
export function isGuarded(state: RetriesState, guard: RetryGuard): boolean {
  return !state.disabledGuards.includes(guard);
}
