import type { Instant } from "../kernel/index.js";
import { AdmissionError } from "./AdmissionError.js";

/** The request is expected to start after its deadline, so it is refused without waiting. */
export class DeadlineUnreachableError extends AdmissionError {
  readonly code = "deadline-unreachable";

  constructor(
    readonly requestId: string,
    readonly deadline: Instant,
    readonly expectedAt: Instant,
  ) {
    super(
      `request "${requestId}" would start at ${String(expectedAt)}, after its deadline ${String(deadline)}`,
    );
  }
}
