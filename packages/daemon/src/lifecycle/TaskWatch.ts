import type { Fields, LogLevel } from "../log/line.js";
import { getMessage, TaskError } from "./TaskError.js";

/** What the watch reports to. */
export interface TaskWatchDependencies {
  /** Called once, when a task does not go on. */
  readonly onFailed: (error: TaskError) => void;
  /** Counts the failed turns of a task. */
  readonly onFailedTurn: (task: string) => void;
  readonly record: (level: LogLevel, event: string, fields: Fields) => void;
}

/** A task that runs in a loop, and how much it has done. */
interface Loop {
  readonly task: string;
  /** Gets the number of turns that it has completed. */
  readonly getTurnCount: () => number;
  turnCount: number;
  /** Ticks since it last completed a turn. */
  idleTicks: number;
}

/** Failures of a periodic task in a row after which it counts as lost. */
const maxFailures = 20;
/** Ticks of the process without a completed turn after which a loop counts as lost. */
const maxIdleTicks = 300;

/**
 * Watches the tasks of a process, so that it does not live on without one of them. It judges by completed turns and by
 * the ticks of the process itself, and never by time: a process that stands still, or gets little processor time, has
 * fewer ticks too.
 */
export class TaskWatch {
  private readonly failures = new Map<string, number>();
  private readonly loops: Loop[] = [];
  private isEnded = false;

  private constructor(private readonly dependencies: TaskWatchDependencies) {}

  /**
   * Creates a watch without tasks.
   * @param dependencies - What it reports to.
   */
  static create(dependencies: TaskWatchDependencies): TaskWatch {
    return new TaskWatch(dependencies);
  }

  /**
   * Runs one turn of a periodic task. One that fails does not keep others from running.
   * @param task - Name of the task.
   * @param turn - The turn.
   */
  run(task: string, turn: () => void): void {
    try {
      turn();
      this.failures.delete(task);
    } catch (error) {
      this.recordFailure(task, error);
    }
  }

  /**
   * Runs one turn of a periodic task that ends later.
   * @param task - Name of the task.
   * @param turn - The turn.
   */
  async runLater(task: string, turn: () => Promise<void>): Promise<void> {
    try {
      await turn();
      this.failures.delete(task);
    } catch (error) {
      this.recordFailure(task, error);
    }
  }

  /**
   * Starts a task that runs in a loop until the process stops.
   * @param task - Name of the task.
   * @param run - Runs the loop.
   * @param getTurnCount - Gets the number of turns that the loop has completed.
   */
  async runLoop(task: string, run: () => Promise<void>, getTurnCount: () => number): Promise<void> {
    this.loops.push({ task, getTurnCount, turnCount: 0, idleTicks: 0 });
    try {
      await run();
      this.fail(TaskError.createEnded(task));
    } catch (error) {
      this.fail(TaskError.createEnded(task, error));
    }
  }

  /** Checks at each tick of the process whether the loops go on. */
  recordTick(): void {
    for (const loop of this.loops) {
      const turnCount = loop.getTurnCount();
      loop.idleTicks = turnCount === loop.turnCount ? loop.idleTicks + 1 : 0;
      loop.turnCount = turnCount;
      if (loop.idleTicks >= maxIdleTicks) {
        this.fail(TaskError.createStalled(loop.task, loop.idleTicks));
      }
    }
  }

  /** Ends the watch; what happens to tasks from then on is expected. */
  stop(): void {
    this.isEnded = true;
  }

  /** Logs the first failure in a row, and those whose number is a power of two. */
  private recordFailure(task: string, error: unknown): void {
    const failures = (this.failures.get(task) ?? 0) + 1;
    this.failures.set(task, failures);
    this.dependencies.onFailedTurn(task);
    if (Number.isInteger(Math.log2(failures))) {
      const detail = error instanceof Error ? (error.stack ?? error.message) : getMessage(error);
      this.dependencies.record("error", "task.failed", { task, failures, detail });
    }
    if (failures >= maxFailures) {
      this.fail(TaskError.createFailed(task, failures, error));
    }
  }

  private fail(error: TaskError): void {
    if (!this.isEnded) {
      this.isEnded = true;
      this.dependencies.onFailed(error);
    }
  }
}
