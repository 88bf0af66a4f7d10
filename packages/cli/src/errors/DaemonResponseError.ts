import { CliError } from "./CliError.js";

/** A daemon responded with an error status, or with a body that does not match the schema. */
export class DaemonResponseError extends CliError {
  readonly code = "daemon-answer";

  constructor(
    readonly address: string,
    readonly path: string,
    readonly reason: string,
  ) {
    super(`daemon at ${address} sent an invalid response to ${path}: ${reason}`);
  }
}
