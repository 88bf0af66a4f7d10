import { CliError } from "./CliError.js";

/** A daemon whose operations listener did not answer. */
export class UnreachableDaemonError extends CliError {
  readonly code = "unreachable-daemon";

  constructor(
    readonly address: string,
    readonly reason: string,
  ) {
    super(`daemon at ${address} did not answer: ${reason}`);
  }
}
