import { RetriesError } from "./RetriesError.js";

/** The request has used all of its attempts. */
export class TooManyAttemptsError extends RetriesError {
  readonly code = "too-many-attempts";

  constructor(
    readonly requestId: string,
    readonly attempts: number,
  ) {
    super(`request "${requestId}" failed ${String(attempts)} times`);
  }
}
