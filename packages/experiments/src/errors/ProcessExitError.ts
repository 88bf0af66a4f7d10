import { ExperimentError } from "./ExperimentError.js";

/** A process exited before it was ready. */
export class ProcessExitError extends ExperimentError {
  readonly code = "process-exit";

  constructor(
    readonly processName: string,
    readonly output: string,
  ) {
    super(`process "${processName}" exited before it was ready: ${output}`);
  }
}
