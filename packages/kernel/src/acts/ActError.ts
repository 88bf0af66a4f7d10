import { KernelError } from "../errors/index.js";
import type { ActErrorCode, ActOutcome } from "./schema.js";

/** An act that gets no recorded answer; the outcome says whether the act can have run. */
export class ActError extends KernelError {
  constructor(
    readonly code: ActErrorCode,
    readonly outcome: Exclude<ActOutcome, "complete">,
    message: string,
  ) {
    super(message);
  }
}
