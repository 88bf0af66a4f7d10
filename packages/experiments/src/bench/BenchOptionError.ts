import { ExperimentError } from "../errors/index.js";

/** A command line option of the benchmark has a value that is not allowed. */
export class BenchOptionError extends ExperimentError {
  readonly code = "invalid-option";

  constructor(
    readonly option: string,
    readonly value: string,
    readonly allowed: readonly string[],
  ) {
    super(`option --${option}: "${value}" is not allowed; use ${allowed.join(", ")}`);
  }
}
