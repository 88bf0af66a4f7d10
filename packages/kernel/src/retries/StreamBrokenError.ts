import { RetriesError } from "./RetriesError.js";

/** A stream broke after its first byte and cannot be resumed. */
export class StreamBrokenError extends RetriesError {
  readonly code = "stream-broken";

  constructor(
    readonly requestId: string,
    readonly attempts: number,
  ) {
    super(
      `stream of request "${requestId}" broke in attempt ${String(attempts)} and cannot be resumed`,
    );
  }
}
