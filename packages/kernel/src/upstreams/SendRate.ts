/** Time over which a rate is averaged. */
const averagingMilliseconds = 5_000;
const millisecondsPerSecond = 1_000;

/** Requests a second that this daemon sends, averaged with weights that decay. Times are monotonic milliseconds. */
export class SendRate {
  private weight = 0;
  private updatedAt = 0;

  private constructor() {
    // Created through the static method.
  }

  /** Creates the rate of a daemon that has sent nothing. */
  static create(): SendRate {
    return new SendRate();
  }

  /** Counts a request that is sent. */
  record(now: number): void {
    this.weight = this.getWeight(now) + 1;
    this.updatedAt = now;
  }

  /** Gets the requests a second. */
  getPerSecond(now: number): number {
    return (this.getWeight(now) * millisecondsPerSecond) / averagingMilliseconds;
  }

  private getWeight(now: number): number {
    return this.weight * Math.exp((this.updatedAt - now) / averagingMilliseconds);
  }
}
