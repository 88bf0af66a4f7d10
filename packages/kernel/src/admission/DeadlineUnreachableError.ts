import type { Instant } from "../kernel/index.js";
import { AdmissionError } from "./AdmissionError.js";

/** The request would still wait when its deadline passes. */
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
