import { AdmissionError } from "./AdmissionError.js";

/** The configuration does not contain the team of a request. */
export class UnknownTeamError extends AdmissionError {
  readonly code = "unknown-team";

  constructor(readonly team: string) {
    super(`team "${team}" is not in the configuration`);
  }
}
