import { RetriesError } from "./RetriesError.js";

/** The retry budget of the daemon is exhausted. */
export class RetryBudgetExhaustedError extends RetriesError {
  readonly code = "retry-budget-exhausted";

  constructor(
    readonly requestId: string,
    readonly attempts: number,
  ) {
    super(`retry budget is spent after ${String(attempts)} attempts of request "${requestId}"`);
  }
}
