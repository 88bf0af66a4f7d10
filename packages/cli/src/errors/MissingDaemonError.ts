import { CliError } from "./CliError.js";

/** Thrown when a command that queries daemons is called without an address. */
export class MissingDaemonError extends CliError {
  readonly code = "missing-daemon";

  constructor() {
    super("no daemon address is given; use --daemon ADDRESS:PORT or PISTACHIOWAY_DAEMONS");
  }
}
