import { CliError } from "./CliError.js";

/** A request that no line of the logs names. */
export class UnknownRequestError extends CliError {
  readonly code = "unknown-request";

  constructor(readonly request: string) {
    super(`request "${request}" is in none of the logs`);
  }
}
