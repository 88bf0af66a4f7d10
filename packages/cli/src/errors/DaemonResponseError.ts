import { CliError } from "./CliError.js";

/** An answer of a daemon that is a failure or does not have the agreed shape. */
export class DaemonResponseError extends CliError {
  readonly code = "daemon-answer";

  constructor(
    readonly address: string,
    readonly path: string,
    readonly reason: string,
  ) {
    super(`daemon at ${address} answered ${path} unusably: ${reason}`);
  }
}
