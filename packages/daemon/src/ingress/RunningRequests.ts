/** Counts requests in flight, so that a planned stop can wait for their ends. */
export class RunningRequests {
  private count = 0;
  private onIdle: (() => void) | undefined;

  private constructor() {
    // Created through the static method.
  }

  /** Creates a count of zero. */
  static create(): RunningRequests {
    return new RunningRequests();
  }

  /** Gets the number of requests in flight. */
  getCount(): number {
    return this.count;
  }

  /** Counts a request that has begun. */
  add(): void {
    this.count += 1;
  }

  /** Counts the end of a request. */
  remove(): void {
    this.count -= 1;
    if (this.count === 0) {
      this.onIdle?.();
    }
  }

  /** Resolves when no request is in flight. */
  async waitUntilIdle(): Promise<void> {
    if (this.count > 0) {
      await new Promise<void>((resolve) => {
        this.onIdle = resolve;
      });
    }
  }
}
