import { ReadTurn } from "./ReadTurn.js";

/** What the pacer depends on. */
export interface ReadPacerDependencies {
  /** Reads the monotonic clock, in milliseconds. */
  readonly getNow: () => number;
  /** Calls a function after a time. */
  readonly schedule: (milliseconds: number, run: () => void) => void;
}

/** Time between two rounds in which waiting connections are read on, for all else that the process does. */
const roundIntervalMilliseconds = 4;
/** Connections that are read on in a round. */
const turnsPerRound = 2;

/**
 * Shares the time of the process among the connections that it reads. One that brings more than its turn allows is
 * paused, and read on after those that wait already, so that no sender takes the time of all others.
 */
export class ReadPacer {
  private readonly waiting: ReadTurn[] = [];
  private isScheduled = false;

  private constructor(private readonly dependencies: ReadPacerDependencies) {}

  /**
   * Creates a pacer without connections.
   * @param dependencies - Its clock and timer.
   */
  static create(dependencies: ReadPacerDependencies): ReadPacer {
    return new ReadPacer(dependencies);
  }

  /** Creates a pacer that uses the clock and the timers of the process. */
  static createDefault(): ReadPacer {
    return ReadPacer.create({
      getNow: () => performance.now(),
      schedule: (milliseconds, run) => {
        setTimeout(run, milliseconds);
      },
    });
  }

  /** Gets the number of connections that wait to be read on. */
  getWaitingCount(): number {
    return this.waiting.length;
  }

  /**
   * Adds a connection.
   * @param onPause - Stops to read it.
   * @param onResume - Reads on.
   */
  addTurn(onPause: () => void, onResume: () => void): ReadTurn {
    return ReadTurn.create({
      getNow: this.dependencies.getNow,
      onPause: (turn) => {
        onPause();
        this.waiting.push(turn);
        this.scheduleRound();
      },
      onResume,
    });
  }

  private scheduleRound(): void {
    if (!this.isScheduled) {
      this.isScheduled = true;
      this.dependencies.schedule(roundIntervalMilliseconds, () => {
        this.runRound();
      });
    }
  }

  private runRound(): void {
    this.isScheduled = false;
    let resumed = 0;
    while (resumed < turnsPerRound && this.waiting.length > 0) {
      resumed += this.waiting.shift()?.resume() === true ? 1 : 0;
    }
    if (this.waiting.length > 0) {
      this.scheduleRound();
    }
  }
}
