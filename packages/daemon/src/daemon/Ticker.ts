import type { Instant } from "@pistachioway/kernel";

/** Runs a turn of a periodic function by the function's name. */
export type TurnRunner = (name: string, turn: () => void) => void;

interface PeriodicFunction {
  readonly name: string;
  readonly periodMilliseconds: number;
  readonly run: (now: Instant) => void;
  dueAt: Instant;
}

/** Runs functions periodically, driven by the ticks of a single timer. */
export class Ticker {
  private readonly functions: PeriodicFunction[] = [];

  private constructor(
    private readonly getNow: () => Instant,
    private readonly runTurn: TurnRunner,
  ) {}

  /**
   * Creates a ticker without functions.
   * @param getNow - Reads the clock.
   * @param runTurn - Runs a turn; one that fails does not keep the others from running.
   */
  static create(getNow: () => Instant, runTurn: TurnRunner): Ticker {
    return new Ticker(getNow, runTurn);
  }

  /**
   * Adds a function.
   * @param name - Name of the function.
   * @param periodMilliseconds - Minimum time between two runs; 0 runs the function on every tick.
   * @param run - Function to run.
   */
  addPeriodic(name: string, periodMilliseconds: number, run: (now: Instant) => void): void {
    this.functions.push({ name, periodMilliseconds, run, dueAt: 0 });
  }

  /** Runs the functions that are due, in the order in which they were added. */
  tick(): void {
    const now = this.getNow();
    for (const entry of this.functions) {
      if (now >= entry.dueAt) {
        entry.dueAt = now + entry.periodMilliseconds;
        this.runTurn(entry.name, () => {
          entry.run(now);
        });
      }
    }
  }
}
