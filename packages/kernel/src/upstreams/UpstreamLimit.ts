import { lowestLimitPerSecond, unusedSlotLifetimeMilliseconds } from "./constants.js";
import type { LimitShare } from "./LimitShare.js";

const millisecondsPerSecond = 1_000;

/**
 * The limit that an upstream names on the requests a second from all daemons together, and the slots in
 * which this daemon may send.
 *
 * A daemon's slots are evenly spaced by its share of the limit, and begin when its position among the daemons says, so
 * that the slots of all daemons are evenly spaced, too. Each upstream begins with another daemon. A slot that is not used
 * soon is lost, so that daemons that were idle do not send all at once. Times are monotonic milliseconds.
 */
export class UpstreamLimit {
  private perSecond: number | undefined;
  private statedAt = -Infinity;
  private nextSlotAt: number | undefined;
  private invalidText: string | undefined;

  private constructor(
    /** What is added to the positions of all daemons, in [0, 1). */
    private readonly offset: number,
  ) {}

  /**
   * Creates the limit of an upstream that has named none.
   * @param offset - What is added to the positions of all daemons for this upstream, in [0, 1).
   */
  static create(offset: number): UpstreamLimit {
    return new UpstreamLimit(offset);
  }

  /**
   * Applies what the upstream said.
   * @param perSecond - Limit in requests a second; undefined when the upstream named none.
   * @param statedAt - When it said so; what it said earlier than the last known time is ignored.
   * @returns Whether the limit changed.
   */
  update(perSecond: number | undefined, statedAt: number): boolean {
    if (statedAt < this.statedAt) {
      return false;
    }
    this.statedAt = statedAt;
    if (perSecond === this.perSecond) {
      return false;
    }
    this.nextSlotAt = this.perSecond === undefined ? undefined : this.nextSlotAt;
    this.perSecond = perSecond;
    return true;
  }

  /**
   * Notes a limit that cannot be read, which changes nothing.
   * @returns Whether it differs from the last one.
   */
  noteInvalid(text: string): boolean {
    const isNew = text !== this.invalidText;
    this.invalidText = text;
    return isNew;
  }

  /** Gets the limit in requests a second; undefined without one. */
  getPerSecond(): number | undefined {
    return this.perSecond;
  }

  /** Gets the time of the last word of the upstream. */
  getStatedAt(): number {
    return this.statedAt;
  }

  /**
   * Checks whether this daemon may send a request now.
   * @param now - Current time.
   * @param share - What this daemon may use.
   */
  isOpen(now: number, share: LimitShare): boolean {
    return this.perSecond === undefined || this.getNextSlot(now, share) <= now;
  }

  /**
   * Gets the beginning of the next slot; Infinity while this daemon has no share.
   * @param now - Current time.
   * @param share - What this daemon may use.
   */
  getNextSlot(now: number, share: LimitShare): number {
    const interval = this.getInterval(share.part);
    if (!Number.isFinite(interval)) {
      return Infinity;
    }
    const nextSlotAt = this.nextSlotAt ?? now + this.getPhase(share) * interval;
    const lateBy = now - unusedSlotLifetimeMilliseconds - nextSlotAt;
    const lostSlots = Math.max(0, Math.ceil(lateBy / interval));
    this.nextSlotAt = nextSlotAt + lostSlots * interval;
    return this.nextSlotAt;
  }

  /**
   * Uses a slot for a request that is sent.
   * @param now - Current time.
   * @param share - What this daemon may use.
   */
  takeSlot(now: number, share: LimitShare): void {
    const nextSlotAt = this.getNextSlot(now, share);
    if (this.perSecond !== undefined && Number.isFinite(nextSlotAt)) {
      this.nextSlotAt = nextSlotAt + this.getInterval(share.part);
    }
  }

  /** Gets the time between two slots. An upstream that takes none is asked now and then whether that holds. */
  private getInterval(part: number): number {
    const perSecond = Math.max(this.perSecond ?? Infinity, lowestLimitPerSecond);
    return millisecondsPerSecond / (perSecond * part);
  }

  /** Gets the part of an interval after which the first slot of this daemon begins. */
  private getPhase({ position }: LimitShare): number {
    return (position + this.offset) % 1;
  }
}
