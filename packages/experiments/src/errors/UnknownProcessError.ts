import { ExperimentError } from "./ExperimentError.js";

/** A fleet has no process with the given name. */
export class UnknownProcessError extends ExperimentError {
  readonly code = "unknown-process";

  constructor(readonly processName: string) {
    super(`process "${processName}" does not exist in the fleet`);
  }
}
