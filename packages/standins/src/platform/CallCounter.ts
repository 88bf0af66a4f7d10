import type { Instant } from "@pistachioway/kernel";

const windowMilliseconds = 1000;

/** Counts calls and limits their rate in fixed windows of one second. */
export class CallCounter {
  private windowStartedAt: Instant = 0;
  private callsInWindow = 0;
  private total = 0;
  private refused = 0;
  private busiestSecond = 0;

  private constructor(private readonly callsPerSecond: number) {}

  /**
   * Creates a counter.
   * @param callsPerSecond - Calls allowed in each window.
   */
  static create(callsPerSecond: number): CallCounter {
    return new CallCounter(callsPerSecond);
  }

  /**
   * Counts a call and returns whether it is within the limit.
   * @param now - Time of the call.
   */
  addCall(now: Instant): boolean {
    if (now - this.windowStartedAt >= windowMilliseconds) {
      this.windowStartedAt = now;
      this.callsInWindow = 0;
    }
    this.total += 1;
    this.callsInWindow += 1;
    this.busiestSecond = Math.max(this.busiestSecond, this.callsInWindow);
    const isAllowed = this.callsInWindow <= this.callsPerSecond;
    this.refused += isAllowed ? 0 : 1;
    return isAllowed;
  }

  /** Gets the totals since the start. */
  getCounts(): { total: number; refused: number; busiestSecond: number } {
    return { total: this.total, refused: this.refused, busiestSecond: this.busiestSecond };
  }
}
