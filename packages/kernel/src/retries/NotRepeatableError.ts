import { RetriesError } from "./RetriesError.js";

/** The attempt may have run, and the call is not idempotent. */
export class NotRepeatableError extends RetriesError {
  readonly code = "not-repeatable";

  constructor(
    readonly requestId: string,
    readonly attempts: number,
  ) {
    super(
      `attempt ${String(attempts)} of request "${requestId}" may have run and must not be repeated`,
    );
  }
}
