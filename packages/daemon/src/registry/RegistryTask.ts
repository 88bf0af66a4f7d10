import {
  ConfigurationLease,
  RegistryEra,
  RegistryHistory,
  RouteTable,
  UpstreamTable,
  type ClockReading,
  type EraComparison,
  type HistoryLost,
  type Registry,
  type RegistryChange,
  type RegistryUpdate,
  type Upstream,
} from "@pistachioway/kernel";
import { CallDeadline } from "../deadlines/index.js";
import type { PeerState } from "../fleet/index.js";
import type { Fields, LogLevel } from "../log/line.js";
import { ZoneEvacuations } from "./ZoneEvacuations.js";

/** Longest time that one watch waits for changes. */
const watchTimeoutMilliseconds = 1_500;
/** Shortest time between the starts of two calls, so that changes close together are read in one. */
const minCallIntervalMilliseconds = 700;
/** Changes made within this time before the end of a watch may be missing from its response. */
const watchLagMilliseconds = 1_000;
/** Time for the response itself; the registry may be some hundred times slower than usual. */
const responseTimeoutMilliseconds = 900;
/** Wait of a watch whose response is needed as a confirmation rather than for its changes. */
const confirmationWaitMilliseconds = 1;
const firstRetryMilliseconds = 40;
const maxRetryMilliseconds = 500;
/** During a longer outage, registry entries of running upstreams may have expired. */
const expiryOutageMilliseconds = 2_000;

/** Dependencies of the task. */
export interface RegistryDependencies {
  readonly registry: Registry;
  readonly getClocks: () => ClockReading;
  /** Waits for a time, or until the signal is aborted. */
  readonly pause: (milliseconds: number, signal: AbortSignal) => Promise<void>;
  readonly record: (level: LogLevel, event: string, fields: Fields) => void;
  /** Called with each newer configuration, which is in force from then on. */
  readonly onTable: (table: RouteTable) => void;
  /** Called with each upstream that is listed, also one that leaves again in the same update. */
  readonly onUpstream: (upstream: Upstream) => void;
  /** Counts calls by result. */
  readonly onCall: (call: "read" | "watch", result: "ok" | "failed" | "historyLost") => void;
}

/** Reads and watches the registry; owns the configuration in force and the table of upstreams. */
export class RegistryTask {
  readonly upstreams = UpstreamTable.create();
  readonly lease = ConfigurationLease.create();
  readonly era = RegistryEra.create();
  /** Latest changes, for peers that follow this daemon. */
  readonly history = RegistryHistory.create();
  private table: RouteTable | undefined;
  private isNewestTableInvalid = false;
  /** True from a restoration of the registry until the next confirmation. */
  private isConfirmationPending = false;
  private position: number | undefined;
  private readCount = 0;
  private turnCount = 0;
  private failureCount = 0;
  /**
   * How long the next watch waits, in whole milliseconds. The pause before it is subtracted, because
   * no updates are received during the pause either.
   */
  private waitMilliseconds = watchTimeoutMilliseconds;
  private readonly stopped = new AbortController();

  private readonly evacuations: ZoneEvacuations;

  private constructor(private readonly dependencies: RegistryDependencies) {
    const { record } = dependencies;
    this.evacuations = ZoneEvacuations.create({ upstreams: this.upstreams, record });
  }

  /**
   * Creates a task that has read nothing.
   * @param dependencies - Dependencies of the task.
   */
  static create(dependencies: RegistryDependencies): RegistryTask {
    return new RegistryTask(dependencies);
  }

  /** Gets the configuration in force. */
  getTable(): RouteTable | undefined {
    return this.table;
  }

  /** Gets the time since the configuration in force was last known to be the newest. */
  getAgeMilliseconds(): number {
    return this.lease.getAgeMilliseconds(this.dependencies.getClocks());
  }

  /** Gets the number of complete reads; what changed before one, since the last answer, is not known. */
  getReadCount(): number {
    return this.readCount;
  }

  /** Gets the number of calls that have ended, with or without a response. */
  getTurnCount(): number {
    return this.turnCount;
  }

  /** Reads and watches the registry until the task is stopped. */
  async run(): Promise<void> {
    const { signal } = this.stopped;
    while (!signal.aborted) {
      const startedAt = this.dependencies.getClocks().monotonic;
      const isOk = await this.callRegistry();
      this.turnCount += 1;
      const pause = isOk ? this.getPauseMilliseconds(startedAt) : this.getRetryMilliseconds();
      this.waitMilliseconds = watchTimeoutMilliseconds - pause;
      if (pause > 0 && !signal.aborted) {
        await this.dependencies.pause(pause, signal);
      }
    }
  }

  /** Checks whether the last call failed, or nothing has been read yet. */
  isUnreachable(): boolean {
    return this.failureCount > 0 || this.table === undefined;
  }

  /** Checks whether the registry was restored from an older copy and may still lack writes. */
  isRestoring(): boolean {
    return this.era.getSettlingMilliseconds(this.dependencies.getClocks().monotonic) > 0;
  }

  /** Stops calling the registry. */
  stop(): void {
    this.stopped.abort();
  }

  /**
   * Applies the state of a peer, while the registry cannot be read or may lack writes. A newer
   * configuration is always taken; the rest is ignored when the peer's configuration is older or was
   * last confirmed earlier than this daemon's, or its registry's era has passed.
   * @param state - Configuration and upstreams of the peer.
   * @param requestedAt - When the peer was asked.
   */
  handlePeerState(state: PeerState, requestedAt: ClockReading): void {
    const now = this.dependencies.getClocks();
    if (state.routing !== undefined) {
      this.applyTable(RouteTable.create(state.routing));
    }
    const isFresher = state.ageMilliseconds < this.lease.getAgeMilliseconds(requestedAt);
    const isSameVersion = this.table?.version === state.version && !this.isNewestTableInvalid;
    if (!isFresher || !isSameVersion || this.observeEra(state.era) === "older") {
      return;
    }
    this.lease.renew(requestedAt, now, state.ageMilliseconds);
    // The lease is newer than the changes from here on, which followers would take for complete.
    this.history.clear();
    state.upstreams.forEach((upstream) => {
      this.addUpstream(upstream, now.monotonic);
    });
    this.removeMissing(new Set(state.upstreams.map(({ id }) => id)));
    const asOf = requestedAt.monotonic - state.ageMilliseconds;
    this.evacuations.applyPeerZones(state.evacuatedZones, asOf);
  }

  private applyTable(table: RouteTable): void {
    if (this.table !== undefined && table.version <= this.table.version) {
      return;
    }
    this.table = table;
    this.isNewestTableInvalid = false;
    this.dependencies.onTable(table);
  }

  /**
   * Reads or watches the registry once.
   * @returns Whether it answered.
   */
  async callRegistry(): Promise<boolean> {
    const requestedAt = this.dependencies.getClocks();
    const call = this.position === undefined ? "read" : "watch";
    try {
      const eraAtRequest = this.era.getEra();
      const response = await this.readOrWatch();
      const isOlder = this.observeEra(response.era) === "older";
      if ("kind" in response) {
        this.position = undefined;
        this.dependencies.onCall(call, "historyLost");
        this.dependencies.record("warn", "registry.history-lost", {});
        return true;
      }
      this.dependencies.onCall(call, "ok");
      this.recordRecovery(requestedAt);
      // Changes since a position of another era say nothing; the whole content is read instead.
      const isSameEra = (response.era ?? eraAtRequest) === (eraAtRequest ?? response.era);
      if (!isOlder && (isSameEra || call === "read")) {
        this.applyUpdate(response, call === "read", requestedAt);
      }
      return true;
    } catch (error) {
      this.dependencies.onCall(call, "failed");
      this.recordFailure(error);
      return false;
    }
  }

  /**
   * Shortens a watch so that the registry is asked for a confirmation as soon as it can give one:
   * when it responds again after a failure, and when a restored one has settled.
   */
  private limitWait(milliseconds: number): number {
    const now = this.dependencies.getClocks().monotonic;
    const settlingMilliseconds = Math.ceil(this.era.getSettlingMilliseconds(now));
    if (settlingMilliseconds > 0) {
      return Math.min(milliseconds, settlingMilliseconds);
    }
    const canConfirm = this.era.canConfirm(this.table?.version ?? -1, now);
    const isAwaited = this.failureCount > 0 || (this.isConfirmationPending && canConfirm);
    return isAwaited ? Math.min(milliseconds, confirmationWaitMilliseconds) : milliseconds;
  }

  /** Compares the era of a response with the newest one known, and prepares for a restored registry. */
  private observeEra(era: number | undefined): EraComparison {
    const now = this.dependencies.getClocks().monotonic;
    const comparison = this.era.observe(era, now);
    if (comparison === "newer") {
      this.position = undefined;
      this.history.clear();
      this.isConfirmationPending = true;
      this.upstreams.startRestoration(now);
      this.dependencies.record("warn", "registry.restored", {
        era: era ?? -1,
        version: this.table?.version ?? -1,
      });
    } else if (comparison === "older") {
      this.dependencies.record("info", "registry.answer-dropped", { era: era ?? -1 });
    }
    return comparison;
  }

  private async readOrWatch(): Promise<RegistryUpdate | HistoryLost> {
    const { registry } = this.dependencies;
    this.waitMilliseconds = this.limitWait(this.waitMilliseconds);
    const wait = this.position === undefined ? 0 : this.waitMilliseconds;
    const deadline = CallDeadline.create(wait + responseTimeoutMilliseconds, this.stopped.signal);
    const { signal } = deadline;
    try {
      return this.position === undefined
        ? await registry.readAll(signal)
        : await registry.watch(this.position, wait, signal);
    } finally {
      deadline.release();
    }
  }

  private applyUpdate(
    update: RegistryUpdate,
    isFullRead: boolean,
    requestedAt: ClockReading,
  ): void {
    update.changes.forEach((change) => {
      this.applyChange(change);
      if (change.kind === "routing") {
        this.era.recordListedVersion(change.routing.version, !isFullRead);
      }
    });
    if (isFullRead) {
      this.readCount += 1;
      const upstreams = update.changes.flatMap((change) =>
        change.kind === "upstream" ? [change.upstream.id] : [],
      );
      this.removeMissing(new Set(upstreams));
    }
    this.recordHistory(update, isFullRead);
    this.evacuations.applyUpdate(update, isFullRead, requestedAt.monotonic);
    this.position = update.position;
    if (this.table !== undefined && !this.isNewestTableInvalid) {
      this.renewLease(update, isFullRead, requestedAt);
    }
  }

  /** A complete read tells the content, but not all changes that led to it. */
  private recordHistory(update: RegistryUpdate, isFullRead: boolean): void {
    if (isFullRead || this.position === undefined) {
      this.history.clear();
    } else {
      this.history.add(this.position, update);
    }
  }

  /**
   * A watch that lasted its full time without changes confirms the configuration until shortly before
   * its end; any other response confirms it as of the time of the request.
   */
  private renewLease(update: RegistryUpdate, isFullRead: boolean, requestedAt: ClockReading): void {
    const now = this.dependencies.getClocks();
    if (!this.era.canConfirm(this.table?.version ?? -1, requestedAt.monotonic)) {
      return;
    }
    this.isConfirmationPending = false;
    if (update.ageMilliseconds !== undefined) {
      this.lease.renew(requestedAt, now, update.ageMilliseconds);
      return;
    }
    const isEmptyWatch = !isFullRead && update.changes.length === 0;
    const waitedMilliseconds = now.monotonic - requestedAt.monotonic;
    const isFull = isEmptyWatch && waitedMilliseconds >= this.waitMilliseconds;
    const confirmedMilliseconds = isFull
      ? Math.max(0, this.waitMilliseconds - watchLagMilliseconds)
      : 0;
    this.lease.renew(requestedAt, now, -confirmedMilliseconds);
  }

  private applyChange(change: RegistryChange): void {
    const { record } = this.dependencies;
    const now = this.dependencies.getClocks().monotonic;
    switch (change.kind) {
      case "routing":
        this.applyTable(RouteTable.create(change.routing));
        this.isNewestTableInvalid = false;
        change.faults.forEach((detail) => {
          record("warn", "configuration.part-refused", { detail });
        });
        break;
      case "routingInvalid":
        this.isNewestTableInvalid = true;
        record("error", "configuration.refused", { detail: change.detail });
        break;
      case "upstream":
        this.addUpstream(change.upstream, now);
        record("info", "upstream.changed", {
          upstream: change.upstream.id,
          service: change.upstream.service,
          zone: change.upstream.zone,
          software: change.upstream.softwareVersion,
          state: change.upstream.state,
        });
        break;
      case "upstreamGone":
        this.upstreams.removeUpstream(change.id, now);
        record("info", "upstream.gone", { upstream: change.id });
        break;
      case "upstreamInvalid":
        this.upstreams.removeUpstream(change.id, now);
        record("warn", "upstream.refused", { upstream: change.id, detail: change.detail });
        break;
      case "zoneEvacuated":
      case "zoneReturned":
        // `ZoneEvacuations` applies them, as a complete list is known at its end only.
        break;
    }
  }

  private addUpstream(upstream: Upstream, now: number): void {
    this.upstreams.addUpstream(upstream, now);
    this.dependencies.onUpstream(upstream);
  }

  /** Removes the upstreams that are missing from a complete list. */
  private removeMissing(listedIds: ReadonlySet<string>): void {
    const now = this.dependencies.getClocks().monotonic;
    for (const { record } of this.upstreams.getEntries()) {
      if (!listedIds.has(record.id)) {
        this.upstreams.removeUpstream(record.id, now);
        this.dependencies.record("info", "upstream.gone", { upstream: record.id });
      }
    }
  }

  private recordFailure(error: unknown): void {
    this.failureCount += 1;
    if (this.failureCount === 1 && !this.stopped.signal.aborted) {
      const detail = error instanceof Error ? error.message : String(error);
      this.dependencies.record("warn", "registry.lost", { detail });
    }
  }

  private recordRecovery(requestedAt: ClockReading): void {
    if (this.failureCount === 0) {
      return;
    }
    const ageMilliseconds = this.lease.getAgeMilliseconds(requestedAt);
    this.dependencies.record("info", "registry.regained", {
      failures: this.failureCount,
      ageMilliseconds: Math.round(ageMilliseconds),
    });
    this.failureCount = 0;
    if (ageMilliseconds > expiryOutageMilliseconds) {
      this.upstreams.startGracePeriod(this.dependencies.getClocks().monotonic);
    }
  }

  private getPauseMilliseconds(startedAt: number): number {
    const left = startedAt + minCallIntervalMilliseconds - this.dependencies.getClocks().monotonic;
    return Math.ceil(Math.max(0, left));
  }

  private getRetryMilliseconds(): number {
    const doubled = firstRetryMilliseconds * 2 ** Math.min(this.failureCount - 1, 5);
    return Math.min(doubled, maxRetryMilliseconds);
  }
}
