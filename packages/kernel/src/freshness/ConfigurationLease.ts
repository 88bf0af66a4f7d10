/** One reading of the clocks of a process, in milliseconds. */
export interface ClockReading {
  /** Steady clock; it may stand still while the host is suspended. */
  readonly monotonic: number;
  /** Time of day; it goes on during a suspension and may jump. */
  readonly wall: number;
}

/**
 * Remembers when a belief was last known to be current.
 *
 * The instant is the one at which the confirming question was sent, since whatever changed later
 * may be missing from its answer. The age is the larger of two clocks' differences, so that neither
 * a suspension nor a step of the time of day can make a belief look younger than it is.
 */
export class ConfigurationLease {
  private renewedAt: ClockReading | undefined;

  private constructor() {
    // Created through the static method.
  }

  /** Creates a confirmation that was never given. */
  static create(): ConfigurationLease {
    return new ConfigurationLease();
  }

  /**
   * Confirms the belief; an older confirmation than the last one changes nothing.
   * @param askedAt - When the confirming question was sent.
   * @param now - Current clocks.
   * @param knownAgeMilliseconds - Age that the one who answered gave its own confirmation; negative
   *   when the answer tells of a time after the question.
   */
  renew(askedAt: ClockReading, now: ClockReading, knownAgeMilliseconds = 0): void {
    const confirmedAt = {
      monotonic: askedAt.monotonic - knownAgeMilliseconds,
      wall: askedAt.wall - knownAgeMilliseconds,
    };
    if (getDifference(confirmedAt, now) < this.getAgeMilliseconds(now)) {
      this.renewedAt = confirmedAt;
    }
  }

  /**
   * Gets the age of the last confirmation; infinite when there was none.
   * @param now - Current clocks.
   */
  getAgeMilliseconds(now: ClockReading): number {
    return this.renewedAt === undefined ? Infinity : getDifference(this.renewedAt, now);
  }
}

function getDifference(from: ClockReading, to: ClockReading): number {
  return Math.max(to.monotonic - from.monotonic, to.wall - from.wall);
}
