import { KernelError } from "../errors/index.js";
import type { ActErrorCode, ActOutcome } from "./schema.js";

/** An act that was not answered from its record, with what the caller may conclude from it. */
export class ActError extends KernelError {
  constructor(
    readonly code: ActErrorCode,
    readonly outcome: Exclude<ActOutcome, "complete">,
    message: string,
  ) {
    super(message);
  }
}
