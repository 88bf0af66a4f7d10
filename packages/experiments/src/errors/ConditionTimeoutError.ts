import { ExperimentError } from "./ExperimentError.js";

/** The fleet did not reach an expected state before the timeout. */
export class ConditionTimeoutError extends ExperimentError {
  readonly code = "condition";

  constructor(readonly condition: string) {
    super(`the fleet did not reach the state "${condition}" before the timeout`);
  }
}
