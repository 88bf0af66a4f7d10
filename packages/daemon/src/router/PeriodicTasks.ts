import { readMonotonicClock } from "./clocks.js";
import type { StallLog } from "./StallLog.js";
import type { TaskWatch } from "../lifecycle/TaskWatch.js";
import type { TickLag } from "./TickLag.js";

/** A task with a turn every so many ticks. */
export interface PeriodicTask {
  readonly name: string;
  /** Ticks from one turn to the next. */
  readonly ticksPerTurn: number;
  /** Runs a turn. */
  readonly run: () => void | Promise<void>;
}

/** What the tasks are measured and watched by. */
export interface PeriodicTasksDependencies {
  readonly tickMilliseconds: number;
  readonly tasks: readonly PeriodicTask[];
  readonly lag: TickLag;
  readonly stalls: StallLog;
  readonly watch: TaskWatch;
}

/** The periodic tasks of a router. One timer drives them all, which wakes the process less often. */
export class PeriodicTasks {
  private timer: NodeJS.Timeout | undefined;
  private tickCount = 0;

  private constructor(private readonly dependencies: PeriodicTasksDependencies) {}

  /**
   * Creates the tasks without starting them.
   * @param dependencies - The tasks, and what they are measured and watched by.
   */
  static create(dependencies: PeriodicTasksDependencies): PeriodicTasks {
    return new PeriodicTasks(dependencies);
  }

  /** Starts the timer. */
  start(): void {
    this.timer = setInterval(() => {
      this.runTick();
    }, this.dependencies.tickMilliseconds);
  }

  /** Stops the timer. */
  stop(): void {
    clearInterval(this.timer);
  }

  private runTick(): void {
    const { tasks, lag, stalls, watch } = this.dependencies;
    this.tickCount += 1;
    stalls.recordTick(lag.recordTick(readMonotonicClock()));
    watch.recordTick();
    for (const { name, run } of tasks.filter((task) => this.isDue(task))) {
      void watch.runLater(name, async () => {
        await run();
      });
    }
  }

  private isDue({ ticksPerTurn }: PeriodicTask): boolean {
    return this.tickCount % ticksPerTurn === 0;
  }
}
