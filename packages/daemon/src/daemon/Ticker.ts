import type { Instant } from "@pistachioway/kernel";

interface PeriodicFunction {
  readonly periodMilliseconds: number;
  readonly run: (now: Instant) => void;
  dueAt: Instant;
}

/** Runs functions periodically, driven by the ticks of a single timer. */
export class Ticker {
  private readonly functions: PeriodicFunction[] = [];

  private constructor(private readonly getNow: () => Instant) {}

  /**
   * Creates a ticker without functions.
   * @param getNow - Reads the clock.
   */
  static create(getNow: () => Instant): Ticker {
    return new Ticker(getNow);
  }

  /**
   * Adds a function.
   * @param periodMilliseconds - Minimum time between two runs; 0 runs the function on every tick.
   * @param run - Function to run.
   */
  addPeriodic(periodMilliseconds: number, run: (now: Instant) => void): void {
    this.functions.push({ periodMilliseconds, run, dueAt: 0 });
  }

  /** Runs the functions that are due, in the order in which they were added. */
  tick(): void {
    const now = this.getNow();
    for (const entry of this.functions) {
      if (now >= entry.dueAt) {
        entry.dueAt = now + entry.periodMilliseconds;
        entry.run(now);
      }
    }
  }
}
