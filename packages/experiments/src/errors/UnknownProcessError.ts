import { ExperimentError } from "./ExperimentError.js";

/** A fleet has no process of a name. */
export class UnknownProcessError extends ExperimentError {
  readonly code = "unknown-process";

  constructor(readonly processName: string) {
    super(`process "${processName}" is not in the fleet`);
  }
}
