import { DeadlinePassedError } from "./DeadlinePassedError.js";

/**
 * Ends a call at its deadline, or when another signal is aborted. Its timer keeps it until the call is released:
 * `AbortSignal.any` does not keep the signals that it follows, so that a timeout among them may be freed and never end
 * the call.
 */
export class CallDeadline {
  private readonly controller = new AbortController();
  private readonly timer: NodeJS.Timeout;
  private isOver = false;

  private constructor(
    milliseconds: number,
    private readonly parent: AbortSignal | undefined,
  ) {
    this.timer = setTimeout(() => {
      this.isOver = true;
      this.abort(new DeadlinePassedError(milliseconds));
    }, milliseconds).unref();
    parent?.addEventListener("abort", this.followParent);
    if (parent?.aborted === true) {
      this.followParent();
    }
  }

  /**
   * Creates a deadline that begins now.
   * @param milliseconds - Time until the deadline.
   * @param parent - Ends the call too when it is aborted.
   */
  static create(milliseconds: number, parent?: AbortSignal): CallDeadline {
    return new CallDeadline(Math.ceil(milliseconds), parent);
  }

  /** Gets the signal that ends the call. */
  get signal(): AbortSignal {
    return this.controller.signal;
  }

  /** Checks whether the deadline ended the call. */
  hasPassed(): boolean {
    return this.isOver;
  }

  /** Frees the deadline of a call that has ended; its signal is not aborted any more. */
  release(): void {
    clearTimeout(this.timer);
    this.parent?.removeEventListener("abort", this.followParent);
  }

  private readonly followParent = (): void => {
    this.abort(this.parent?.reason);
  };

  private abort(reason: unknown): void {
    this.release();
    this.controller.abort(reason);
  }
}
