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

/** Gets what this router may send to upstreams after their start, and logs which are cold or paced. */
export class UpstreamStarts {
  private coldIds: ReadonlySet<string> = new Set();
  private pacedIds: ReadonlySet<string> = new Set();

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
    const paced = settings.pacing.isEnabled ? this.getEntriesOf(service) : undefined;
    const context = { view, startedAt, bounds: settings.coldStart, paced };
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
   * Logs which upstreams are cold or paced and which no longer are; called a few times a second.
   * @param now - Monotonic time, in milliseconds.
   */
  check(now: number): void {
    const { metrics, record } = this.dependencies;
    const { cold, paced } = this.getStarting(now);
    const { coldIds, pacedIds } = this;
    this.coldIds = cold;
    this.pacedIds = paced;
    for (const { record: upstream } of this.getEntries()) {
      const { id, zone } = upstream;
      const fields = { upstream: id, zone };
      if (cold.has(id) !== coldIds.has(id)) {
        record("info", cold.has(id) ? "upstream.cold" : "upstream.warm", fields);
      }
      if (paced.has(id) !== pacedIds.has(id)) {
        record("info", paced.has(id) ? "upstream.paced" : "upstream.full-pace", fields);
      }
    }
    metrics.coldUpstreams.set(cold.size);
    metrics.pacedUpstreams.set(paced.size);
  }

  /** Gets the ids of the upstreams that are cold, and of those that are paced. */
  private getStarting(now: number): Record<"cold" | "paced", ReadonlySet<string>> {
    const cold = new Set<string>();
    const paced = new Set<string>();
    const shares = new Map<string, StartShare | undefined>();
    for (const { record, start } of this.getEntries()) {
      const { id, service } = record;
      if (!shares.has(service)) {
        shares.set(service, this.getShare(service));
      }
      const share = shares.get(service);
      if (share !== undefined && start.isCold(now, share)) {
        cold.add(id);
      }
      if (share !== undefined && start.isPaced(share)) {
        paced.add(id);
      }
    }
    return { cold, paced };
  }

  private getEntriesOf(service: string): readonly UpstreamEntry[] {
    return this.getEntries().filter(({ record }) => record.service === service);
  }

  private getEntries(): readonly UpstreamEntry[] {
    return this.dependencies.registry.upstreams.getEntries();
  }
}
