import { ExperimentError } from "./ExperimentError.js";

/** The fleet did not reach a state in the time allowed. */
export class ConditionTimeoutError extends ExperimentError {
  readonly code = "condition";

  constructor(readonly condition: string) {
    super(`the fleet did not reach the state "${condition}"`);
  }
}
