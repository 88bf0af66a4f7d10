import { longestColdMilliseconds } from "./constants.js";
import { RateSlots, type SharedRate } from "./RateSlots.js";
import { SendRate } from "./SendRate.js";
import type { StartShare } from "./StartShare.js";
import { UpstreamPace, type PaceChange } from "./UpstreamPace.js";

/**
 * What a daemon sends to an upstream that started or recovered a short while ago: at most its share of the rate that a
 * cold upstream tolerates, and of the pace that is found from answers. It is kept over the incarnations of the upstream,
 * so that a restart gives no further slot. Times are monotonic milliseconds.
 */
export class UpstreamStart {
  /** End of the time for which the upstream said that it is cold. */
  private statedEndsAt = -Infinity;
  /** When this daemon's path last opened after the upstream may have restarted. */
  private returnedAt = -Infinity;
  private readonly pace = UpstreamPace.create();
  private readonly sendRate = SendRate.create();

  private constructor(private readonly slots: RateSlots) {}

  /**
   * Creates the state of an upstream that is not cold as far as is known.
   * @param offset - What is added to the positions of all daemons for this upstream, in [0, 1).
   */
  static create(offset: number): UpstreamStart {
    return new UpstreamStart(RateSlots.create(offset));
  }

  /**
   * Applies how long the upstream is still cold, by its record or a response. A value that took
   * long to arrive makes the upstream count as cold for too long, never too briefly.
   * An upstream that says that it is warm has not started again.
   * @param milliseconds - Remaining time; 0 when it is warm.
   * @param now - Current time.
   */
  recordCold(milliseconds: number, now: number): void {
    if (milliseconds > 0 && now >= this.statedEndsAt) {
      this.pace.begin(now);
    }
    this.statedEndsAt = now + Math.min(milliseconds, longestColdMilliseconds);
  }

  /** Records that connections open again after a time in which the upstream may have restarted. */
  recordReturn(now: number): void {
    this.returnedAt = now;
    this.pace.begin(now);
  }

  /** Records that the upstream has just started. */
  recordStart(now: number): void {
    this.pace.begin(now);
  }

  /** Records that the upstream is avoided for its failures; the pace that was found before is kept. */
  recordAvoided(now: number): void {
    if (!this.pace.isActive()) {
      this.pace.begin(now);
    }
  }

  /** Checks whether the upstream is paced by its answers. */
  isPaced({ pace }: StartShare): boolean {
    return pace !== undefined && this.pace.isActive();
  }

  /** Gets the pace of the upstream in requests a second of all daemons; undefined when it is unrestricted. */
  getPacePerSecond({ pace }: StartShare): number | undefined {
    return pace && this.pace.getPerSecond(pace);
  }

  /** Gets the requests a second that this daemon sends to the upstream. */
  getSentPerSecond(now: number): number {
    return this.sendRate.getPerSecond(now);
  }

  /**
   * Records an answer whose first byte came in time.
   * @param sentAt - When its request was sent.
   * @param now - Current time.
   * @param share - What this daemon may use.
   * @returns The change of the pace, if it grew.
   */
  recordInTime(sentAt: number, now: number, share: StartShare): PaceChange | undefined {
    const { pace, cold } = share;
    const isCold = cold !== undefined && this.isCold(now, share);
    // What a cold upstream bears at its rate says nothing of much higher ones.
    const highest = isCold ? cold.requestsPerSecond : Infinity;
    return pace && this.pace.recordInTime(sentAt, now, pace, highest);
  }

  /**
   * Records that a request was rejected or that its first byte was late.
   * @param sentAt - When it was sent.
   * @param now - Current time.
   * @param share - What this daemon may use.
   * @returns The change of the pace, if it shrank.
   */
  recordSetback(sentAt: number, now: number, { pace }: StartShare): PaceChange | undefined {
    return pace && this.pace.recordSetback(sentAt, now, pace);
  }

  /** Applies a change of the pace that another daemon told of. */
  applyPace(change: PaceChange, { pace }: StartShare): void {
    if (pace !== undefined) {
      this.pace.apply(change, pace);
    }
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
    const coldEnd = this.isPaced(share) ? Infinity : this.getColdEnd(share);
    return rate && Math.min(this.slots.getNext(now, rate, share), coldEnd);
  }

  /** Uses the current slot for a request that is sent. */
  takeSlot(now: number): void {
    this.slots.take(now);
    this.sendRate.record(now);
  }

  private getRate(now: number, share: StartShare): SharedRate | undefined {
    const { cold, pace } = share;
    const perSecond = pace && this.pace.getPerSecond(pace);
    if (cold === undefined || !this.isCold(now, share)) {
      return perSecond === undefined ? undefined : { perSecond, mostInSecond: Infinity };
    }
    const { requestsPerSecond, excess, slack } = cold;
    return {
      perSecond: Math.min(requestsPerSecond, perSecond ?? Infinity),
      mostInSecond: requestsPerSecond * excess + slack,
    };
  }
}
