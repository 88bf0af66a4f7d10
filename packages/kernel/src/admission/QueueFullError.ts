import { AdmissionError } from "./AdmissionError.js";

/** The team's queue holds as many waiting requests as its limit allows. */
export class QueueFullError extends AdmissionError {
  readonly code = "queue-full";

  constructor(
    readonly team: string,
    readonly limit: number,
  ) {
    super(`queue of team "${team}" holds ${String(limit)} requests already`);
  }
}
