/** Functions that are called at each tick of one shared timer, in place of a timer for each. */
export class TickListeners {
  private readonly listeners = new Set<() => void>();

  private constructor(private readonly onFailed: (error: unknown) => void) {}

  /**
   * Creates an empty set.
   * @param onFailed - Called with what a function throws; it is not called again.
   */
  static create(onFailed: (error: unknown) => void): TickListeners {
    return new TickListeners(onFailed);
  }

  /**
   * Adds a function.
   * @param listener - Called at each tick until it is removed.
   */
  add(listener: () => void): void {
    this.listeners.add(listener);
  }

  /** Removes a function; one that was not added is ignored. */
  remove(listener: () => void): void {
    this.listeners.delete(listener);
  }

  /**
   * Calls every function; those that are added meanwhile are called at the next tick. One that fails keeps no other from
   * being called.
   */
  run(): void {
    for (const listener of [...this.listeners]) {
      this.call(listener);
    }
  }

  private call(listener: () => void): void {
    try {
      listener();
    } catch (error) {
      this.remove(listener);
      this.onFailed(error);
    }
  }
}
