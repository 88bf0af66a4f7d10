import { ToolError } from "./ToolError.js";

/** A command that asks daemons was given the address of none. */
export class MissingDaemonError extends ToolError {
  readonly code = "missing-daemon";

  constructor() {
    super("no daemon is named; use --daemon ADDRESS:PORT or PISTACHIOWAY_DAEMONS");
  }
}
