import { CliError } from "./CliError.js";

/** The operations listener of a daemon did not respond. */
export class UnreachableDaemonError extends CliError {
  readonly code = "unreachable-daemon";

  constructor(
    readonly address: string,
    readonly reason: string,
  ) {
    super(`daemon at ${address} did not respond: ${reason}`);
  }
}
