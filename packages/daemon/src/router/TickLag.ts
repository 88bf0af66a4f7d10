/** Lateness of a tick from which the process has no processor time to spare. */
const busyLagMilliseconds = 150;

/** Tells from the lateness of a periodic timer whether the process keeps up with its work. */
export class TickLag {
  private tickedAt: number;
  private lagMilliseconds = 0;

  private constructor(
    private readonly intervalMilliseconds: number,
    now: number,
  ) {
    this.tickedAt = now;
  }

  /**
   * Creates a measure of a timer that starts now.
   * @param intervalMilliseconds - Interval of the timer.
   * @param now - Monotonic time.
   */
  static create(intervalMilliseconds: number, now: number): TickLag {
    return new TickLag(intervalMilliseconds, now);
  }

  /** Records that the timer has ticked. */
  recordTick(now: number): void {
    this.lagMilliseconds = now - this.tickedAt - this.intervalMilliseconds;
    this.tickedAt = now;
  }

  /** Checks whether the last tick, or one that is still due, is late. */
  isBusy(now: number): boolean {
    const dueLag = now - this.tickedAt - this.intervalMilliseconds;
    return Math.max(this.lagMilliseconds, dueLag) > busyLagMilliseconds;
  }
}
