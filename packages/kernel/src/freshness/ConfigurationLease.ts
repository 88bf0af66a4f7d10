/** One reading of the clocks of a process, in milliseconds. */
export interface ClockReading {
  /** Monotonic clock; it may stop while the host is suspended. */
  readonly monotonic: number;
  /** Time of day; it continues during a suspension and may step. */
  readonly wall: number;
}

/**
 * Keeps the time at which the configuration was last known to be current.
 *
 * This is the time at which the renewing request was sent, since its response may lack any later
 * change. The age is the larger of the differences on two clocks, so that neither a suspension nor a
 * step of the time of day can make the lease look newer than it is.
 */
export class ConfigurationLease {
  private renewedAt: ClockReading | undefined;

  private constructor() {
    // Created through the static method.
  }

  /** Creates a lease that was never renewed. */
  static create(): ConfigurationLease {
    return new ConfigurationLease();
  }

  /**
   * Renews the lease; a renewal that is older than the last one is ignored.
   * @param requestedAt - When the renewing request was sent.
   * @param now - Current clock readings.
   * @param responderAgeMilliseconds - Age of the responder's own lease; negative when the response
   *   was current at a time after the request.
   */
  renew(requestedAt: ClockReading, now: ClockReading, responderAgeMilliseconds = 0): void {
    const confirmedAt = {
      monotonic: requestedAt.monotonic - responderAgeMilliseconds,
      wall: requestedAt.wall - responderAgeMilliseconds,
    };
    if (getDifference(confirmedAt, now) < this.getAgeMilliseconds(now)) {
      this.renewedAt = confirmedAt;
    }
  }

  /**
   * Gets the time since the last renewal; infinite when there was none.
   * @param now - Current clock readings.
   */
  getAgeMilliseconds(now: ClockReading): number {
    return this.renewedAt === undefined ? Infinity : getDifference(this.renewedAt, now);
  }
}

function getDifference(from: ClockReading, to: ClockReading): number {
  return Math.max(to.monotonic - from.monotonic, to.wall - from.wall);
}
