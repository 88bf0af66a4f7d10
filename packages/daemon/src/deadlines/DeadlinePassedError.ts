import { DaemonError } from "../errors/index.js";

/** A call had not ended at its deadline. */
export class DeadlinePassedError extends DaemonError {
  readonly code = "deadline-passed";

  constructor(milliseconds: number) {
    super(`no answer within ${String(milliseconds)} ms`);
  }
}
