import { ExperimentError } from "./ExperimentError.js";

/** The heap cannot be measured, because node does not expose its garbage collector. */
export class MissingGarbageCollectorError extends ExperimentError {
  readonly code = "missing-collector";

  constructor() {
    super('memory cannot be measured without the garbage collector; start node with "--expose-gc"');
  }
}
