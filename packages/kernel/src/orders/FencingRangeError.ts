import { KernelError } from "../errors/index.js";

/** A generation or revision too large to be combined into a fencing number. */
export class FencingRangeError extends KernelError {
  readonly code = "fencing-range";

  constructor(
    readonly generation: number,
    readonly revision: number,
  ) {
    super(
      `generation ${String(generation)} with revision ${String(revision)} has no fencing number`,
    );
  }
}
