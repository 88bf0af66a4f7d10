import { ToolError } from "./ToolError.js";

/** An answer of a daemon that is a failure or does not have the agreed shape. */
export class DaemonAnswerError extends ToolError {
  readonly code = "daemon-answer";

  constructor(
    readonly address: string,
    readonly path: string,
    readonly reason: string,
  ) {
    super(`daemon at ${address} answered ${path} unusably: ${reason}`);
  }
}
