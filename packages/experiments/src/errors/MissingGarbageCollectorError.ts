import { ExperimentError } from "./ExperimentError.js";

/** The heap cannot be measured without a collection before. */
export class MissingGarbageCollectorError extends ExperimentError {
  readonly code = "missing-collector";

  constructor() {
    super('start node with "--expose-gc" to measure memory');
  }
}
