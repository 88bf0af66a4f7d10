import { ExperimentError } from "./ExperimentError.js";

/** A control or operations call was answered with a failure. */
export class ControlError extends ExperimentError {
  readonly code = "control";

  constructor(
    readonly url: string,
    readonly status: number,
    readonly body: string,
  ) {
    super(`call of ${url} was answered ${String(status)}: ${body}`);
  }
}
