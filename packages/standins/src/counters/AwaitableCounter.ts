/** A counter whose callers can wait until it reaches a count. */
export class AwaitableCounter {
  private count = 0;
  private readonly wakeWaiters = new Set<() => void>();

  private constructor() {
    // Created through the static method.
  }

  /** Creates a counter at zero. */
  static create(): AwaitableCounter {
    return new AwaitableCounter();
  }

  /** Gets the current count. */
  getCount(): number {
    return this.count;
  }

  /** Adds one. */
  add(): void {
    this.count += 1;
    for (const wakeWaiter of [...this.wakeWaiters]) {
      wakeWaiter();
    }
  }

  /**
   * Waits until the count is reached or the time is up.
   * @param count - Count to wait for.
   * @param waitMilliseconds - Longest time to wait.
   */
  waitFor(count: number, waitMilliseconds: number): Promise<void> {
    return new Promise((resolve) => {
      const finish = () => {
        clearTimeout(timer);
        this.wakeWaiters.delete(wakeWaiter);
        resolve();
      };
      const wakeWaiter = () => {
        if (this.count >= count) {
          finish();
        }
      };
      const timer = setTimeout(finish, waitMilliseconds);
      this.wakeWaiters.add(wakeWaiter);
      wakeWaiter();
    });
  }
}
