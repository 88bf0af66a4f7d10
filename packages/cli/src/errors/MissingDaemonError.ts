import { CliError } from "./CliError.js";

/** A command that asks daemons was given the address of none. */
export class MissingDaemonError extends CliError {
  readonly code = "missing-daemon";

  constructor() {
    super("no daemon is named; use --daemon ADDRESS:PORT or PISTACHIOWAY_DAEMONS");
  }
}
