import { ExperimentError } from "./ExperimentError.js";

/** A request to a control or operations listener got an error response. */
export class ControlError extends ExperimentError {
  readonly code = "control";

  constructor(
    readonly url: string,
    readonly status: number,
    readonly body: string,
  ) {
    super(`request to "${url}" failed with status ${String(status)}: ${body}`);
  }
}
