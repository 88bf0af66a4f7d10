import { RetriesError } from "./RetriesError.js";

/** The next attempt would start after the deadline. */
export class RetryDeadlineError extends RetriesError {
  readonly code = "retry-deadline";

  constructor(
    readonly requestId: string,
    readonly attempts: number,
  ) {
    super(`deadline of request "${requestId}" leaves no time after ${String(attempts)} attempts`);
  }
}
