import { KernelError } from "../errors/index.js";

/** A generation or revision is too large for a fencing token. */
export class FencingRangeError extends KernelError {
  readonly code = "fencing-range";

  constructor(
    readonly generation: number,
    readonly revision: number,
  ) {
    super(
      `generation ${String(generation)} with revision ${String(revision)} does not fit a fencing token`,
    );
  }
}
