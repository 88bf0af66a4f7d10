import {
  ConfigurationLease,
  RouteTable,
  UpstreamTable,
  type ClockReading,
  type Registry,
  type RegistryChange,
  type RegistryUpdate,
} from "@pistachioway/kernel";
import type { PeerState } from "../fleet/index.js";
import type { Fields, LogLevel } from "../log/line.js";

/** Longest wait of one watch. */
const watchMilliseconds = 1_500;
/** Least time between the starts of two calls, so that close changes are read together. */
const paceMilliseconds = 700;
/** A watch may miss changes for this long before the registry ends it. */
const unheardMilliseconds = 1_000;
/** Time for the answer itself; the registry may be some hundred times slower than usual. */
const answerMilliseconds = 900;
const firstRetryMilliseconds = 40;
const longestRetryMilliseconds = 500;
/** An outage of this length may have let the entries of living upstreams lapse. */
const lapsingOutageMilliseconds = 2_000;

/** What the task works with. */
export interface RegistryParts {
  readonly registry: Registry;
  readonly getClocks: () => ClockReading;
  /** Waits for a time, or until the signal is aborted. */
  readonly pause: (milliseconds: number, signal: AbortSignal) => Promise<void>;
  readonly record: (level: LogLevel, event: string, fields: Fields) => void;
  /** Called with each newer configuration. */
  readonly onTable: (table: RouteTable) => void;
  /** Counts calls by result. */
  readonly onCall: (call: "read" | "watch", result: "ok" | "failed" | "historyLost") => void;
}

/** Follows the registry: owns the configuration in force and the table of upstreams. */
export class RegistryTask {
  readonly book = UpstreamTable.create();
  readonly confirmation = ConfigurationLease.create();
  private table: RouteTable | undefined;
  private isTableUnknown = false;
  private position: number | undefined;
  private failures = 0;
  /** Wait of the next watch, a whole number: a pause before it is part of the time without news. */
  private waitMilliseconds = watchMilliseconds;
  private readonly stopped = new AbortController();

  private constructor(private readonly parts: RegistryParts) {}

  /**
   * Creates a task that has read nothing.
   * @param parts - What the task works with.
   */
  static create(parts: RegistryParts): RegistryTask {
    return new RegistryTask(parts);
  }

  /** Gets the configuration in force. */
  getTable(): RouteTable | undefined {
    return this.table;
  }

  /** Gets the time since the configuration in force was last known to be the newest. */
  getAgeMilliseconds(): number {
    return this.confirmation.getAgeMilliseconds(this.parts.getClocks());
  }

  /** Follows the registry until the task is stopped. */
  async run(): Promise<void> {
    const { signal } = this.stopped;
    while (!signal.aborted) {
      const startedAt = this.parts.getClocks().monotonic;
      const isOk = await this.step();
      const pause = isOk ? this.getPaceMilliseconds(startedAt) : this.getRetryMilliseconds();
      this.waitMilliseconds = watchMilliseconds - pause;
      if (pause > 0 && !signal.aborted) {
        await this.parts.pause(pause, signal);
      }
    }
  }

  /** Tells whether the last call failed, or nothing has been read yet. */
  isAway(): boolean {
    return this.failures > 0 || this.table === undefined;
  }

  /** Stops following. */
  stop(): void {
    this.stopped.abort();
  }

  /**
   * Takes what a peer knows, while the registry itself cannot be read. A peer with an older
   * configuration changes nothing.
   * @param state - What the peer knows.
   * @param askedAt - When the peer was asked.
   */
  takePeerState(state: PeerState, askedAt: ClockReading): void {
    const now = this.parts.getClocks();
    const isFresher = state.ageMilliseconds < this.confirmation.getAgeMilliseconds(askedAt);
    if (!isFresher || state.version < (this.table?.version ?? 0)) {
      return;
    }
    if (state.routing !== undefined) {
      this.takeTable(RouteTable.create(state.routing));
    }
    if (this.table?.version !== state.version || this.isTableUnknown) {
      return;
    }
    this.confirmation.renew(askedAt, now, state.ageMilliseconds);
    state.upstreams.forEach((upstream) => {
      this.book.addUpstream(upstream, now.monotonic);
    });
    this.removeMissing(new Set(state.upstreams.map(({ id }) => id)));
  }

  private takeTable(table: RouteTable): void {
    if (this.table !== undefined && table.version <= this.table.version) {
      return;
    }
    this.table = table;
    this.isTableUnknown = false;
    this.parts.onTable(table);
  }

  private async step(): Promise<boolean> {
    const askedAt = this.parts.getClocks();
    const call = this.position === undefined ? "read" : "watch";
    try {
      const news = await this.ask();
      if ("kind" in news) {
        this.position = undefined;
        this.parts.onCall(call, "historyLost");
        this.parts.record("warn", "registry.history-lost", {});
        return true;
      }
      this.parts.onCall(call, "ok");
      this.regain(askedAt);
      this.take(news, call === "read", askedAt);
      return true;
    } catch (error) {
      this.parts.onCall(call, "failed");
      this.lose(error);
      return false;
    }
  }

  private async ask(): Promise<RegistryUpdate | { readonly kind: "historyLost" }> {
    const { registry } = this.parts;
    const wait = this.position === undefined ? 0 : this.waitMilliseconds;
    const timeout = AbortSignal.timeout(wait + answerMilliseconds);
    const signal = AbortSignal.any([timeout, this.stopped.signal]);
    return this.position === undefined
      ? registry.readAll(signal)
      : registry.watch(this.position, wait, signal);
  }

  private take(news: RegistryUpdate, isWhole: boolean, askedAt: ClockReading): void {
    news.changes.forEach((change) => {
      this.apply(change);
    });
    if (isWhole) {
      const upstreams = news.changes.flatMap((change) =>
        change.kind === "upstream" ? [change.upstream.id] : [],
      );
      this.removeMissing(new Set(upstreams));
    }
    this.position = news.position;
    if (this.table !== undefined && !this.isTableUnknown) {
      this.confirm(news, isWhole, askedAt);
    }
  }

  /**
   * A watch that ends without changes has heard of none until shortly before its end; any other
   * answer tells of the time when it was asked for.
   */
  private confirm(news: RegistryUpdate, isWhole: boolean, askedAt: ClockReading): void {
    const now = this.parts.getClocks();
    const wasWaiting = !isWhole && news.changes.length === 0;
    const waited = now.monotonic - askedAt.monotonic;
    const isFull = wasWaiting && waited >= this.waitMilliseconds;
    const heard = isFull ? Math.max(0, this.waitMilliseconds - unheardMilliseconds) : 0;
    this.confirmation.renew(askedAt, now, -heard);
  }

  private apply(change: RegistryChange): void {
    const { record } = this.parts;
    const now = this.parts.getClocks().monotonic;
    switch (change.kind) {
      case "routing":
        this.takeTable(RouteTable.create(change.routing));
        this.isTableUnknown = false;
        change.faults.forEach((detail) => {
          record("warn", "configuration.part-refused", { detail });
        });
        break;
      case "routingInvalid":
        this.isTableUnknown = true;
        record("error", "configuration.refused", { detail: change.detail });
        break;
      case "upstream":
        this.book.addUpstream(change.upstream, now);
        record("info", "upstream.changed", {
          upstream: change.upstream.id,
          service: change.upstream.service,
          zone: change.upstream.zone,
          state: change.upstream.state,
        });
        break;
      case "upstreamGone":
        this.book.removeUpstream(change.id, now);
        record("info", "upstream.gone", { upstream: change.id });
        break;
      case "upstreamInvalid":
        this.book.removeUpstream(change.id, now);
        record("warn", "upstream.refused", { upstream: change.id, detail: change.detail });
        break;
    }
  }

  /** Removes the upstreams that a whole reading does not name. */
  private removeMissing(named: ReadonlySet<string>): void {
    const now = this.parts.getClocks().monotonic;
    for (const { record } of this.book.getEntries()) {
      if (!named.has(record.id)) {
        this.book.removeUpstream(record.id, now);
        this.parts.record("info", "upstream.gone", { upstream: record.id });
      }
    }
  }

  private lose(error: unknown): void {
    this.failures += 1;
    if (this.failures === 1 && !this.stopped.signal.aborted) {
      const detail = error instanceof Error ? error.message : String(error);
      this.parts.record("warn", "registry.lost", { detail });
    }
  }

  private regain(askedAt: ClockReading): void {
    if (this.failures === 0) {
      return;
    }
    const ageMilliseconds = this.confirmation.getAgeMilliseconds(askedAt);
    this.parts.record("info", "registry.regained", {
      failures: this.failures,
      ageMilliseconds: Math.round(ageMilliseconds),
    });
    this.failures = 0;
    if (ageMilliseconds > lapsingOutageMilliseconds) {
      this.book.startGracePeriod(this.parts.getClocks().monotonic);
    }
  }

  private getPaceMilliseconds(startedAt: number): number {
    const left = startedAt + paceMilliseconds - this.parts.getClocks().monotonic;
    return Math.ceil(Math.max(0, left));
  }

  private getRetryMilliseconds(): number {
    const doubled = firstRetryMilliseconds * 2 ** Math.min(this.failures - 1, 5);
    return Math.min(doubled, longestRetryMilliseconds);
  }
}
