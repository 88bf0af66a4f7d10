import type { MemoryBudget } from "@pistachioway/kernel";
import type { ReadPacer } from "../exchange/index.js";
import type { Fields, LogLevel } from "../log/line.js";

/** What the log depends on. */
export interface StallLogDependencies {
  readonly memory: MemoryBudget;
  readonly pacer: ReadPacer;
  readonly record: (level: LogLevel, event: string, fields: Fields) => void;
}

/** Lateness of a tick from which it is logged. */
const stallMilliseconds = 500;
const microsecondsPerMillisecond = 1_000;

/**
 * Logs when the process stood still for long. Processor time that it used meanwhile tells a process that was busy from
 * one that did not run.
 */
export class StallLog {
  private usage = process.cpuUsage();

  private constructor(private readonly dependencies: StallLogDependencies) {}

  /**
   * Creates a log.
   * @param dependencies - What it reports.
   */
  static create(dependencies: StallLogDependencies): StallLog {
    return new StallLog(dependencies);
  }

  /**
   * Records a tick.
   * @param lagMilliseconds - Lateness of the tick.
   */
  recordTick(lagMilliseconds: number): void {
    const { user, system } = process.cpuUsage(this.usage);
    this.usage = process.cpuUsage();
    if (lagMilliseconds < stallMilliseconds) {
      return;
    }
    const { memory, pacer, record } = this.dependencies;
    record("warn", "daemon.stalled", {
      milliseconds: Math.round(lagMilliseconds),
      processor: Math.round((user + system) / microsecondsPerMillisecond),
      kept: memory.getUsedBytes(),
      paused: pacer.getWaitingCount(),
    });
  }
}
