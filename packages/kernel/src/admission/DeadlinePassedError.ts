import type { Instant } from "../kernel/index.js";
import { AdmissionError } from "./AdmissionError.js";

/** The deadline of a waiting request passed before the request could run. */
export class DeadlinePassedError extends AdmissionError {
  readonly code = "deadline-passed";

  constructor(
    readonly requestId: string,
    readonly deadline: Instant,
  ) {
    super(`deadline ${String(deadline)} of request "${requestId}" passed while it waited`);
  }
}
