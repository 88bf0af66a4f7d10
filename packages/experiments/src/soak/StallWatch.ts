/** A period in which the soak's process did not run. Instants are milliseconds of the monotonic clock. */
export interface Stall {
  readonly from: number;
  readonly until: number;
}

const intervalMilliseconds = 50;

/** Records the periods in which the process did not run, so that its store, upstreams and callers stood still. */
export class StallWatch {
  readonly stalls: Stall[] = [];
  private timer: NodeJS.Timeout | undefined;

  private constructor(
    private readonly minMilliseconds: number,
    private readonly getNow: () => number,
    private lastAt: number,
  ) {}

  /**
   * Creates a watch that is not started.
   * @param minMilliseconds - Shortest period that is recorded.
   * @param getNow - Reads the monotonic clock.
   */
  static create(minMilliseconds: number, getNow: () => number): StallWatch {
    return new StallWatch(minMilliseconds, getNow, getNow());
  }

  /** Checks from now on at short intervals. */
  start(): void {
    this.lastAt = this.getNow();
    this.timer = setInterval(() => {
      this.check();
    }, intervalMilliseconds);
  }

  /** Ends the checks. */
  stop(): void {
    clearInterval(this.timer);
  }

  /** Records a stall if the last check was long ago. */
  check(): void {
    const now = this.getNow();
    if (now - this.lastAt >= this.minMilliseconds) {
      this.stalls.push({ from: this.lastAt, until: now });
    }
    this.lastAt = now;
  }

  /** Gets the end of the last stall; undefined if there was none. */
  getLastEnd(): number | undefined {
    this.check();
    return this.stalls.at(-1)?.until;
  }
}
