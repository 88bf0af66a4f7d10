import { CliError } from "./CliError.js";

/** Thrown when no log line has the id of the request. */
export class UnknownRequestError extends CliError {
  readonly code = "unknown-request";

  constructor(readonly request: string) {
    super(`request "${request}" does not exist in the logs`);
  }
}
