/** The timer of a deadline. */
export class DeadlineTimer {
  private constructor(private readonly timer: NodeJS.Timeout) {}

  /**
   * Starts the timer of a deadline.
   * @param deadline - The deadline, in monotonic milliseconds.
   * @param now - Current time by the same clock.
   * @param onPassed - Called when the deadline has passed.
   */
  static start(deadline: number, now: number, onPassed: () => void): DeadlineTimer {
    return new DeadlineTimer(setTimeout(onPassed, Math.max(0, deadline - now)));
  }

  /** Stops the timer. */
  stop(): void {
    clearTimeout(this.timer);
  }
}
