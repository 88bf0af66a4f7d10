import type { ClockReading, FleetView, StartShare, UpstreamEntry } from "@pistachioway/kernel";
import type { Fields, LogLevel } from "../log/line.js";
import type { RouterMetrics } from "../metrics/RouterMetrics.js";
import type { RegistryTask } from "../registry/index.js";
import { getStartShare } from "./getStartShare.js";
import type { RouterSettings } from "./settings.js";

/** What the starts of upstreams depend on. */
export interface UpstreamStartsDependencies {
  readonly registry: RegistryTask;
  readonly view: FleetView;
  readonly settings: RouterSettings;
  /** Monotonic time of the router's start, in milliseconds. */
  readonly startedAt: number;
  readonly metrics: RouterMetrics;
  readonly getClocks: () => ClockReading;
  readonly record: (level: LogLevel, event: string, fields: Fields) => void;
}

/** Gets what this router may send to upstreams after their start, and logs which are cold. */
export class UpstreamStarts {
  private coldIds: ReadonlySet<string> = new Set();

  private constructor(private readonly dependencies: UpstreamStartsDependencies) {}

  /**
   * Creates the starts of a router's upstreams.
   * @param dependencies - What they depend on.
   */
  static create(dependencies: UpstreamStartsDependencies): UpstreamStarts {
    return new UpstreamStarts(dependencies);
  }

  /** Gets what this router may send to upstreams of a service after their start; undefined when nothing bounds it. */
  getShare(service: string): StartShare | undefined {
    const { registry, view, settings, startedAt, getClocks } = this.dependencies;
    const { coldStart } = registry.getTable()?.getService(service) ?? {};
    const context = { view, startedAt, bounds: settings.coldStart };
    return getStartShare(context, coldStart, getClocks());
  }

  /**
   * Has the upstreams at an address probed that ended an idle connection: one that restarts is away for a moment only, and
   * the requests of one router may miss it.
   * @param address - IPv4 address and port.
   */
  handleIdleEnded(address: string): void {
    this.getEntries()
      .filter(({ record }) => record.address === address)
      .filter(({ record }) => this.getShare(record.service)?.cold !== undefined)
      .forEach(({ path }) => {
        path.requestProbe();
      });
  }

  /**
   * Logs which upstreams are cold and which no longer are; called a few times a second.
   * @param now - Monotonic time, in milliseconds.
   */
  check(now: number): void {
    const { metrics, record } = this.dependencies;
    const cold = new Set<string>();
    for (const entry of this.getEntries()) {
      const { id: upstream, zone } = entry.record;
      const left = Math.round(this.getColdEnd(entry) - now);
      if (left > 0) {
        cold.add(upstream);
      }
      if (left > 0 && !this.coldIds.has(upstream)) {
        record("info", "upstream.cold", { upstream, zone, left });
      }
      if (left <= 0 && this.coldIds.has(upstream)) {
        record("info", "upstream.warm", { upstream, zone });
      }
    }
    this.coldIds = cold;
    metrics.coldUpstreams.set(cold.size);
  }

  private getEntries(): readonly UpstreamEntry[] {
    return this.dependencies.registry.upstreams.getEntries();
  }

  private getColdEnd({ record, start }: UpstreamEntry): number {
    const share = this.getShare(record.service);
    return share === undefined ? -Infinity : start.getColdEnd(share);
  }
}
