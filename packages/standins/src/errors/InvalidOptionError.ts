import { StandinError } from "./StandinError.js";

/** A command-line option is unknown, lacks its value or has an invalid one. */
export class InvalidOptionError extends StandinError {
  readonly code = "invalid-option";

  constructor(
    readonly option: string,
    readonly reason: string,
  ) {
    super(`option "${option}": ${reason}`);
  }
}
