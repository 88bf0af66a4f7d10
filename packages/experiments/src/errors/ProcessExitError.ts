import { ExperimentError } from "./ExperimentError.js";

/** A process ended before it was ready. */
export class ProcessExitError extends ExperimentError {
  readonly code = "process-exit";

  constructor(
    readonly processName: string,
    readonly output: string,
  ) {
    super(`process "${processName}" ended before it was ready: ${output}`);
  }
}
