import {
  UpstreamReach,
  type ServiceReachChange,
  type UpstreamEntry,
  type UpstreamTable,
  WorkEstimator,
} from "@pistachioway/kernel";
import type { Fields, LogLevel } from "../log/line.js";
import { canConnect } from "./connect.js";
import type { ConnectionPool } from "./ConnectionPool.js";
import type { EndEvidence } from "./EndEvidence.js";
import type { HealthRequest } from "./LivenessConnection.js";
import { ProcessWatches, type ProcessWatchUse } from "./ProcessWatches.js";

/** After a longer pause of this process, missing responses do not show that an upstream is down. */
const maxPauseMilliseconds = 250;

/** Dependencies of the task. */
export interface ReachabilityDependencies {
  readonly upstreams: UpstreamTable;
  readonly pool: ConnectionPool;
  readonly getNow: () => number;
  readonly record: (level: LogLevel, event: string, fields: Fields) => void;
}

/** Finds out which upstreams this daemon reaches by itself, and probes those that it does not. */
export class ReachabilityTask {
  /** Learns how long upstreams take for their work, by which their silence is judged. */
  readonly workEstimator = WorkEstimator.create();
  private readonly reach: UpstreamReach;
  private readonly processes = ProcessWatches.create();
  private checkedAt: number;

  private constructor(private readonly dependencies: ReachabilityDependencies) {
    this.checkedAt = dependencies.getNow();
    this.reach = UpstreamReach.create(dependencies.upstreams, (entry, now) =>
      this.workEstimator.getSilenceLimit(entry, now),
    );
  }

  /**
   * Creates a task that has checked nothing.
   * @param dependencies - Dependencies of the task.
   */
  static create(dependencies: ReachabilityDependencies): ReachabilityTask {
    return new ReachabilityTask(dependencies);
  }

  /** Gets the names of the services none of whose upstreams this daemon reaches by itself. */
  getUnreachedServices(): readonly string[] {
    return this.reach.getUnreachedServices();
  }

  /** Checks the upstreams; called about ten times a second. */
  check(): void {
    const now = this.dependencies.getNow();
    const wasPaused = now - this.checkedAt > maxPauseMilliseconds;
    this.checkedAt = now;
    if (!wasPaused) {
      this.runCheck(now);
    }
  }

  /** Records that no connection to an upstream could be opened; probes that follow begin at once. */
  recordConnectFailure(entry: UpstreamEntry): void {
    const now = this.dependencies.getNow();
    this.reach.recordConnectFailure(entry, now);
    this.probe(this.reach.takeProbes(now));
  }

  /**
   * Watches the process of an upstream while it sends an answer whose end only it can vouch for.
   * @param entry - The upstream.
   * @param request - How it is asked for its health.
   */
  watchProcess({ record }: UpstreamEntry, request: HealthRequest): ProcessWatchUse {
    return this.processes.use({
      address: record.address,
      request,
      getNow: this.dependencies.getNow,
    });
  }

  /**
   * Records what a check of an upstream's process has found out.
   * @param entry - The upstream.
   * @param evidence - What was found out.
   */
  recordEvidence(entry: UpstreamEntry, evidence: EndEvidence): void {
    if (evidence === "unreachable") {
      this.recordConnectFailure(entry);
    } else if (evidence === "answered") {
      this.reach.recordConnected(entry, this.dependencies.getNow());
    }
  }

  private runCheck(now: number): void {
    const { silent, changes } = this.reach.check(now);
    silent.forEach((entry) => {
      this.handleSilent(entry, now);
    });
    changes.forEach((change) => {
      this.recordChange(change);
    });
    this.probe(this.reach.takeProbes(now));
  }

  private handleSilent(entry: UpstreamEntry, now: number): void {
    const { record, running } = entry;
    const { id: upstream, zone, address } = record;
    this.dependencies.pool.closeIdleTo(address);
    const limit = Math.round(this.reach.getSilenceLimit(entry, now));
    this.dependencies.record("warn", "upstream.silent", { upstream, zone, running, limit });
  }

  private recordChange({ service, isReached, listed }: ServiceReachChange): void {
    const level = isReached ? "info" : "warn";
    const event = isReached ? "service.reached" : "service.unreached";
    this.dependencies.record(level, event, { service, listed });
  }

  private probe(entries: readonly UpstreamEntry[]): void {
    entries.forEach((entry) => {
      void this.probeUpstream(entry);
    });
  }

  private async probeUpstream(entry: UpstreamEntry): Promise<void> {
    const { id, zone, address } = entry.record;
    const wasClosed = entry.path.getState() === "closed";
    if (!(await canConnect(address))) {
      this.reach.recordProbeFailure(entry, this.dependencies.getNow());
      return;
    }
    this.reach.recordConnected(entry, this.dependencies.getNow());
    if (wasClosed) {
      this.dependencies.record("info", "upstream.reached", { upstream: id, zone });
    }
  }
}
