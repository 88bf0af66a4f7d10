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

  /**
   * Records that the timer has ticked.
   * @returns Lateness of the tick, in milliseconds.
   */
  recordTick(now: number): number {
    this.lagMilliseconds = now - this.tickedAt - this.intervalMilliseconds;
    this.tickedAt = now;
    return this.lagMilliseconds;
  }

  /** Checks whether the last tick, or one that is still due, is late. */
  isBusy(now: number): boolean {
    return this.getLag(now) > busyLagMilliseconds;
  }

  /**
   * Gets the earliest instant at which something may have happened that the process learns of only now, as it stood
   * still; the present if it did not.
   */
  getEarliest(now: number): number {
    return now - Math.max(0, this.getLag(now));
  }

  /** Gets the lateness of the last tick, or of one that is still due. */
  private getLag(now: number): number {
    const dueLag = now - this.tickedAt - this.intervalMilliseconds;
    return Math.max(this.lagMilliseconds, dueLag);
  }
}
