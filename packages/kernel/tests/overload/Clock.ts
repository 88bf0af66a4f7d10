/** Simulated time in whole milliseconds. */
export class Clock {
  now = 0;
  private readonly actions = new Map<number, (() => void)[]>();

  /** Calls a function at a time, or in the next millisecond if that has passed. */
  schedule(at: number, action: () => void): void {
    const time = Math.max(this.now + 1, Math.ceil(at));
    const actions = this.actions.get(time) ?? [];
    actions.push(action);
    this.actions.set(time, actions);
  }

  /** Runs everything that is due before a time. */
  runUntil(end: number): void {
    for (; this.now < end; this.now += 1) {
      const actions = this.actions.get(this.now) ?? [];
      this.actions.delete(this.now);
      actions.forEach((action) => {
        action();
      });
    }
  }
}
