import {
  lowestPaceRatio,
  paceGrowthAfterSetback,
  paceGrowthFactor,
  paceReductionFactor,
  paceStepMilliseconds,
} from "./constants.js";

/** Paces between which an upstream moves after its start or recovery, in requests a second of all daemons. */
export interface PaceBounds {
  readonly initialPerSecond: number;
  /** Pace from which the upstream is as unrestricted as the others. */
  readonly fullPerSecond: number;
}

/** A change of a pace, as a daemon tells the others of it. */
export interface PaceChange {
  /** New pace; undefined when the upstream is unrestricted from now on. */
  readonly perSecond: number | undefined;
  /** Whether a rejection or a late first byte was the reason. */
  readonly isReduced: boolean;
  readonly at: number;
}

/**
 * The rate at which all daemons together send to an upstream that has started or recovered.
 *
 * It doubles when a request that was sent at the present pace is answered in time, and halves when one is rejected or late;
 * after that it grows in smaller steps. Steps are computed from the present pace, so that daemons that take the same step at
 * the same time agree. Times are monotonic milliseconds.
 */
export class UpstreamPace {
  private isPaced = false;
  /** Undefined until the first use, which knows the bounds. */
  private perSecond: number | undefined;
  private changedAt = -Infinity;
  private beganAt = -Infinity;
  private reducedAt = -Infinity;

  private constructor() {
    // Created through the static method.
  }

  /** Creates the pace of an upstream that is unrestricted. */
  static create(): UpstreamPace {
    return new UpstreamPace();
  }

  /** Begins at the initial pace, whatever was known before. */
  begin(now: number): void {
    this.isPaced = true;
    this.perSecond = undefined;
    this.beganAt = now;
    this.changedAt = now;
    this.reducedAt = -Infinity;
  }

  /** Checks whether the upstream is restricted. */
  isActive(): boolean {
    return this.isPaced;
  }

  /** Gets the pace; undefined when the upstream is unrestricted. */
  getPerSecond({ initialPerSecond }: PaceBounds): number | undefined {
    if (this.isPaced) {
      this.perSecond ??= initialPerSecond;
    }
    return this.isPaced ? this.perSecond : undefined;
  }

  /**
   * Records an answer whose first byte came in time.
   * @param sentAt - When its request was sent; only one that was sent at the present pace shows that it is sound.
   * @param now - Current time.
   * @param bounds - Bounds of the pace.
   * @param highest - Pace that this answer can show to be sound, as another rate bounds what is sent.
   * @returns The change of the pace, if it grew.
   */
  recordInTime(
    sentAt: number,
    now: number,
    bounds: PaceBounds,
    highest: number,
  ): PaceChange | undefined {
    const perSecond = this.getPerSecond(bounds);
    const isDue = sentAt >= this.changedAt && now - this.changedAt >= paceStepMilliseconds;
    if (perSecond === undefined || !isDue) {
      return undefined;
    }
    const factor = this.hasBeenReduced() ? paceGrowthAfterSetback : paceGrowthFactor;
    const grown = Math.min(perSecond * factor, highest);
    if (grown <= perSecond) {
      return undefined;
    }
    this.changedAt = now;
    this.perSecond = grown;
    this.isPaced = grown < bounds.fullPerSecond;
    return { perSecond: this.isPaced ? grown : undefined, isReduced: false, at: now };
  }

  /**
   * Records that a request was rejected or that its first byte was late.
   * @param sentAt - When it was sent; requests that were on their way at the last reduction count once together.
   * @param now - Current time.
   * @param bounds - Bounds of the pace.
   * @returns The change of the pace, if it shrank.
   */
  recordSetback(sentAt: number, now: number, bounds: PaceBounds): PaceChange | undefined {
    const perSecond = this.getPerSecond(bounds);
    if (perSecond === undefined || sentAt < Math.max(this.beganAt, this.reducedAt)) {
      return undefined;
    }
    const lowest = bounds.initialPerSecond * lowestPaceRatio;
    this.perSecond = Math.max(lowest, perSecond * paceReductionFactor);
    this.reducedAt = now;
    this.changedAt = now;
    return { perSecond: this.perSecond, isReduced: true, at: now };
  }

  /**
   * Applies a change that another daemon told of. It tells nothing of an upstream that is unrestricted here, which this
   * daemon has reached all the time, nor of the time before the present start. What grew before the last reduction is
   * ignored.
   * @param change - The change.
   * @param bounds - Bounds of the pace.
   */
  apply({ perSecond, isReduced, at }: PaceChange, bounds: PaceBounds): void {
    const own = this.getPerSecond(bounds);
    if (own === undefined || at <= Math.max(this.beganAt, this.reducedAt)) {
      return;
    }
    if (isReduced) {
      this.perSecond = Math.min(own, perSecond ?? own);
      this.reducedAt = at;
    } else {
      this.perSecond = Math.max(own, perSecond ?? own);
      this.isPaced = perSecond !== undefined;
    }
    this.changedAt = Math.max(this.changedAt, at);
  }

  private hasBeenReduced(): boolean {
    return this.reducedAt > this.beganAt;
  }
}
