/** Functions that are called at each tick of one shared timer, in place of a timer for each. */
export class TickListeners {
  private readonly listeners = new Set<() => void>();

  private constructor() {
    // Created through the static method.
  }

  /** Creates an empty set. */
  static create(): TickListeners {
    return new TickListeners();
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

  /** Calls every function; those that are added meanwhile are called at the next tick. */
  run(): void {
    for (const listener of [...this.listeners]) {
      listener();
    }
  }
}
