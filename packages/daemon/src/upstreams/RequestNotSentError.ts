import { DaemonError } from "../errors/index.js";

/** A request was given up while it waited for a connection; no part of it was sent or will be. */
export class RequestNotSentError extends DaemonError {
  readonly code = "request-not-sent";

  constructor() {
    super("the request was given up before a connection was free");
  }
}
