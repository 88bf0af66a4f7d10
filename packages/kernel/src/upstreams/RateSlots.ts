import {
  longestSlotMilliseconds,
  shortestSlotMilliseconds,
  unusedSlotLifetimeMilliseconds,
} from "./constants.js";
import type { StartShare } from "./StartShare.js";

const millisecondsPerSecond = 1_000;

/** A rate of all daemons together, and how far it may be exceeded in any second. */
export interface SharedRate {
  readonly perSecond: number;
  /** Requests in any second that must not be exceeded; Infinity without such a bound. */
  readonly mostInSecond: number;
}

/**
 * The slots in which this daemon sends to one upstream at its share of a rate.
 *
 * Slots begin at multiples of the daemon's interval by the host's clock, shifted by its position, so that daemons that
 * learn of the rate at different moments still send at evenly spaced times. A slot takes one request and is lost when none
 * uses it within its lifetime. Times are monotonic milliseconds.
 */
export class RateSlots {
  private usedAt = -Infinity;

  private constructor(
    /** What is added to the positions of all daemons, in [0, 1). */
    private readonly offset: number,
  ) {}

  /**
   * Creates slots of which none was used.
   * @param offset - What is added to the positions of all daemons for this upstream, in [0, 1).
   */
  static create(offset: number): RateSlots {
    return new RateSlots(offset);
  }

  /**
   * Checks whether this daemon may send a request now.
   * @param now - Current time.
   * @param rate - Rate of all daemons together.
   * @param share - What this daemon may use of it.
   */
  isOpen(now: number, rate: SharedRate, share: StartShare): boolean {
    return this.getNext(now, rate, share) <= now;
  }

  /**
   * Gets the time from which the next slot is open; Infinity while this daemon has no share.
   * @param now - Current time.
   * @param rate - Rate of all daemons together.
   * @param share - What this daemon may use of it.
   */
  getNext(now: number, rate: SharedRate, share: StartShare): number {
    const interval = millisecondsPerSecond / (rate.perSecond * share.part);
    if (!Number.isFinite(interval)) {
      return Infinity;
    }
    const lifetime = Math.min(getLifetime(rate), interval);
    // The grid moves with the rate, the position and the host's clock; slots before and after that keep their distance.
    const earliest = Math.max(now, this.usedAt + interval - lifetime);
    const shift = ((share.position + this.offset) % 1) * interval - share.clockOffset;
    const begin = Math.floor((earliest - shift) / interval) * interval + shift;
    const isUsable = earliest - begin < lifetime && this.usedAt < begin;
    return isUsable ? earliest : begin + interval;
  }

  /** Uses the current slot for a request that is sent. */
  take(now: number): void {
    this.usedAt = now;
  }
}

/**
 * Gets how long a slot stays open.
 *
 * Without a bound it is as long as for the limits that upstreams name: requests with a key go to few upstreams, and miss
 * most shorter slots. With a bound, daemons that were idle may all send at one moment in their open slots and then in
 * each one that follows, so in a second up to the rate times one second plus the lifetime. Half of what the bound allows
 * above the rate is left for positions that are not agreed on.
 */
function getLifetime({ perSecond, mostInSecond }: SharedRate): number {
  if (mostInSecond === Infinity) {
    return unusedSlotLifetimeMilliseconds;
  }
  const excess = (mostInSecond / perSecond - 1) * (millisecondsPerSecond / 2);
  return Math.min(longestSlotMilliseconds, Math.max(shortestSlotMilliseconds, excess));
}
