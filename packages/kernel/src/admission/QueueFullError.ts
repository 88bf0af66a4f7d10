import { AdmissionError } from "./AdmissionError.js";

/** As many requests of the team wait as may. */
export class QueueFullError extends AdmissionError {
  readonly code = "queue-full";

  constructor(
    readonly team: string,
    readonly limit: number,
  ) {
    super(`queue of team "${team}" holds ${String(limit)} requests already`);
  }
}
