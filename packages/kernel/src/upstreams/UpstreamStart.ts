import { longestColdMilliseconds } from "./constants.js";
import { RateSlots, type SharedRate } from "./RateSlots.js";
import type { StartShare } from "./StartShare.js";

/**
 * What a daemon sends to an upstream that started a short while ago: at most its share of the rate that a cold upstream
 * tolerates. Kept over the incarnations of the upstream, so that a restart gives no further slot. Times are monotonic
 * milliseconds.
 */
export class UpstreamStart {
  /** End of the time for which the upstream said that it is cold. */
  private statedEndsAt = -Infinity;
  /** When this daemon's path last opened after the upstream may have restarted. */
  private returnedAt = -Infinity;

  private constructor(private readonly slots: RateSlots) {}

  /**
   * Creates the state of an upstream that is not cold as far as is known.
   * @param offset - What is added to the positions of all daemons for this upstream, in [0, 1).
   */
  static create(offset: number): UpstreamStart {
    return new UpstreamStart(RateSlots.create(offset));
  }

  /**
   * Applies how long the upstream is still cold, by its record or a response. A value that is older than it seems ends too
   * late, never too early.
   * @param milliseconds - Remaining time.
   * @param now - Current time.
   */
  recordCold(milliseconds: number, now: number): void {
    this.statedEndsAt = now + Math.min(milliseconds, longestColdMilliseconds);
  }

  /** Records that connections open again after a time in which the upstream may have restarted. */
  recordReturn(now: number): void {
    this.returnedAt = now;
  }

  /** Gets the end of the time for which the upstream is cold; in the past when it is not, or its service has none. */
  getColdEnd({ cold }: StartShare): number {
    return cold === undefined
      ? -Infinity
      : Math.max(this.statedEndsAt, this.returnedAt + cold.milliseconds);
  }

  /** Checks whether the upstream is cold. */
  isCold(now: number, share: StartShare): boolean {
    return now < this.getColdEnd(share);
  }

  /**
   * Checks whether this daemon may send a request now.
   * @param now - Current time.
   * @param share - What this daemon may use.
   */
  isOpen(now: number, share: StartShare): boolean {
    const rate = this.getRate(now, share);
    return rate === undefined || this.slots.isOpen(now, rate, share);
  }

  /**
   * Gets when this daemon may send the next request; undefined while it may at any time.
   * @param now - Current time.
   * @param share - What this daemon may use.
   */
  getNextSlot(now: number, share: StartShare): number | undefined {
    const rate = this.getRate(now, share);
    return rate && Math.min(this.slots.getNext(now, rate, share), this.getColdEnd(share));
  }

  /** Uses the current slot for a request that is sent. */
  takeSlot(now: number): void {
    this.slots.take(now);
  }

  private getRate(now: number, share: StartShare): SharedRate | undefined {
    const { cold } = share;
    if (cold === undefined || !this.isCold(now, share)) {
      return undefined;
    }
    const { requestsPerSecond: perSecond, excess, slack } = cold;
    return { perSecond, mostInSecond: perSecond * excess + slack };
  }
}
