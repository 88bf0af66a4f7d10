import type { UpstreamTable, UpstreamEntry } from "@pistachioway/kernel";
import type { Fields, LogLevel } from "../log/line.js";
import { canConnect } from "./connect.js";
import type { ConnectionPool } from "./ConnectionPool.js";

/** After a longer pause of this process, missing responses do not show that an upstream is down. */
const maxPauseMilliseconds = 250;

/** Dependencies of the task. */
export interface ReachabilityDependencies {
  readonly upstreams: UpstreamTable;
  readonly pool: ConnectionPool;
  readonly getNow: () => number;
  readonly record: (level: LogLevel, event: string, fields: Fields) => void;
}

/** Detects unresponsive upstreams, and probes the unreachable ones. */
export class ReachabilityTask {
  private checkedAt: number;

  private constructor(private readonly dependencies: ReachabilityDependencies) {
    this.checkedAt = dependencies.getNow();
  }

  /**
   * Creates a task that has checked nothing.
   * @param dependencies - Dependencies of the task.
   */
  static create(dependencies: ReachabilityDependencies): ReachabilityTask {
    return new ReachabilityTask(dependencies);
  }

  /** Checks the upstreams; called about ten times a second. */
  check(): void {
    const now = this.dependencies.getNow();
    const wasPaused = now - this.checkedAt > maxPauseMilliseconds;
    this.checkedAt = now;
    if (wasPaused) {
      return;
    }
    for (const entry of this.dependencies.upstreams.getEntries()) {
      if (entry.avoidIfUnresponsive(now)) {
        this.handleUnresponsive(entry);
      }
      if (entry.startProbe(now)) {
        void this.probe(entry);
      }
    }
  }

  private handleUnresponsive(entry: UpstreamEntry): void {
    const { id, zone, address } = entry.record;
    this.dependencies.pool.closeIdleTo(address);
    this.dependencies.record("warn", "upstream.silent", {
      upstream: id,
      zone,
      running: entry.running,
    });
  }

  private async probe(entry: UpstreamEntry): Promise<void> {
    const { id, zone, address } = entry.record;
    if (await canConnect(address)) {
      entry.markReachable();
      this.dependencies.record("info", "upstream.reached", { upstream: id, zone });
    }
  }
}
