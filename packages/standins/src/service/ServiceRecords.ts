import type { Instant } from "@pistachioway/kernel";
import { AwaitableCounter } from "../counters/index.js";

/** One execution of a call. */
export interface RunRecord {
  /** Position among all runs, counted from 1. */
  readonly sequence: number;
  /** Act key; null for a call without one. */
  readonly key: string | null;
  readonly attempt: string | null;
  readonly method: string;
  readonly path: string;
  /** SHA-256 of the body in hexadecimal. */
  readonly bodyDigest: string;
  readonly at: Instant;
}

/** The runs of a service; callers can wait for a number of runs. */
export class ServiceRecords {
  private readonly runs: RunRecord[] = [];
  private readonly counter = AwaitableCounter.create();

  private constructor() {
    // Created through the static method.
  }

  /** Creates empty records. */
  static create(): ServiceRecords {
    return new ServiceRecords();
  }

  /**
   * Adds a run and returns its record.
   * @param run - Run to add.
   */
  addRun(run: Omit<RunRecord, "sequence">): RunRecord {
    const record = { sequence: this.runs.length + 1, ...run };
    this.runs.push(record);
    this.counter.add();
    return record;
  }

  /** Gets the runs, the oldest first. */
  getRuns(): readonly RunRecord[] {
    return this.runs;
  }

  /**
   * Waits until there is a number of runs or the time is up.
   * @param count - Number of runs.
   * @param waitMilliseconds - Longest time to wait.
   */
  waitForRuns(count: number, waitMilliseconds: number): Promise<void> {
    return this.counter.waitFor(count, waitMilliseconds);
  }
}
