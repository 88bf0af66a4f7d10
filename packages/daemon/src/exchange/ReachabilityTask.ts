import type { UpstreamTable, UpstreamEntry } from "@pistachioway/kernel";
import type { Fields, LogLevel } from "../log/line.js";
import { canConnect } from "./connect.js";
import type { ConnectionPool } from "./ConnectionPool.js";

const checkMilliseconds = 100;
/** After a longer pause of this process the upstreams' silence says nothing. */
const maxPauseMilliseconds = 250;

/** What the task works with. */
export interface ReachabilityParts {
  readonly book: UpstreamTable;
  readonly pool: ConnectionPool;
  readonly getNow: () => number;
  readonly record: (level: LogLevel, event: string, fields: Fields) => void;
}

/** Finds upstreams that have fallen silent, and probes those that cannot be reached. */
export class ReachabilityTask {
  private timer: NodeJS.Timeout | undefined;
  private checkedAt = 0;

  private constructor(private readonly parts: ReachabilityParts) {}

  /**
   * Creates a task that is not started.
   * @param parts - What the task works with.
   */
  static create(parts: ReachabilityParts): ReachabilityTask {
    return new ReachabilityTask(parts);
  }

  /** Starts the checks. */
  start(): void {
    this.checkedAt = this.parts.getNow();
    this.timer = setInterval(() => {
      this.check();
    }, checkMilliseconds);
  }

  /** Ends the checks. */
  stop(): void {
    clearInterval(this.timer);
  }

  private check(): void {
    const now = this.parts.getNow();
    const wasPaused = now - this.checkedAt > maxPauseMilliseconds;
    this.checkedAt = now;
    if (wasPaused) {
      return;
    }
    for (const entry of this.parts.book.getEntries()) {
      if (entry.avoidIfUnresponsive(now)) {
        this.leaveAlone(entry);
      }
      if (entry.startProbe(now)) {
        void this.probe(entry);
      }
    }
  }

  private leaveAlone(entry: UpstreamEntry): void {
    const { id, zone, address } = entry.record;
    this.parts.pool.discard(address);
    this.parts.record("warn", "upstream.silent", { upstream: id, zone, running: entry.running });
  }

  private async probe(entry: UpstreamEntry): Promise<void> {
    const { id, zone, address } = entry.record;
    if (await canConnect(address)) {
      entry.markReachable();
      this.parts.record("info", "upstream.reached", { upstream: id, zone });
    }
  }
}
