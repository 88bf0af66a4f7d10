import { AdmissionError } from "./AdmissionError.js";

/** A request came from a team that the configuration does not name. */
export class UnknownTeamError extends AdmissionError {
  readonly code = "unknown-team";

  constructor(readonly team: string) {
    super(`team "${team}" is not in the configuration`);
  }
}
