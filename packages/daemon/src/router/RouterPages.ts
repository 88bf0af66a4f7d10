import { noticeKinds, type MemoryBudget, type RouterStatus } from "@pistachioway/kernel";
import type { ConnectionPool, ReachabilityTask } from "../exchange/index.js";
import { peerStatePath, type FleetTask, type PeerState } from "../fleet/index.js";
import type { IngressServer } from "../ingress/index.js";
import type { RouterMetrics } from "../metrics/RouterMetrics.js";
import { registryChangesPath, type RegistryTask, type RelayedUpdate } from "../registry/index.js";
import type { Forwarding } from "./createForwarding.js";
import type { OperationsPage, PageSource } from "./OperationsServer.js";
import type { RouterSettings } from "./settings.js";

/** A daemon is not ready when its configuration's age exceeds this ratio of the revocation time. */
const unreadyAgeRatio = 0.75;
const millisecondsPerSecond = 1_000;
const tokensPerEstimate = 1_000;

/** Dependencies of the pages. */
export interface RouterPagesDependencies {
  readonly settings: RouterSettings;
  readonly incarnation: number;
  readonly registry: RegistryTask;
  readonly fleet: FleetTask;
  readonly ingress: IngressServer;
  readonly reachability: ReachabilityTask;
  readonly forwarding: Forwarding;
  readonly pool: ConnectionPool;
  readonly memory: MemoryBudget;
  readonly metrics: RouterMetrics;
  readonly getNow: () => number;
  /** Checks whether the start is complete: every needed listener listens. */
  readonly isStarted: () => boolean;
  readonly isStopping: () => boolean;
}

/** The operations pages of a router: readiness, status, metrics, and its state for peers. */
export class RouterPages {
  private constructor(private readonly dependencies: RouterPagesDependencies) {}

  /**
   * Creates the pages.
   * @param dependencies - Dependencies of the pages.
   */
  static create(dependencies: RouterPagesDependencies): RouterPages {
    return new RouterPages(dependencies);
  }

  /** Gets the page for the load balancer, by path. */
  getReadiness(): Readonly<Record<string, PageSource>> {
    return { "/readyz": () => this.getReadinessPage() };
  }

  /** Gets the page for metrics, by path. */
  getMetrics(): Readonly<Record<string, PageSource>> {
    return { "/metrics": () => this.getMetricsPage() };
  }

  /** Gets every page by path. */
  getAll(): Readonly<Record<string, PageSource>> {
    return {
      ...this.getReadiness(),
      "/status": () => this.getStatusPage(),
      ...this.getMetrics(),
      [peerStatePath]: (query) => this.getPeerStatePage(Number(query.get("known") ?? -1)),
      [registryChangesPath]: (query) => this.getChangesPage(Number(query.get("after") ?? NaN)),
    };
  }

  private isReady(): boolean {
    const { settings, registry, isStarted, isStopping } = this.dependencies;
    const { revokeMilliseconds } = settings.configuration;
    const isFresh = registry.getAgeMilliseconds() < revokeMilliseconds * unreadyAgeRatio;
    return isStarted() && !isStopping() && isFresh;
  }

  private getReadinessPage(): OperationsPage {
    const isReady = this.isReady();
    const text = isReady ? "ready\n" : "not ready\n";
    return { status: isReady ? 200 : 503, type: "text/plain", text };
  }

  private getStatusPage(): OperationsPage {
    const { settings, registry, fleet, ingress, getNow, incarnation } = this.dependencies;
    const now = getNow();
    const age = registry.getAgeMilliseconds();
    const upstreams = registry.upstreams.getEntries().map((entry) => ({
      ...entry.record,
      running: entry.running,
      load: entry.getLoad(now),
      isAvoided: entry.isAvoided(now),
      isLeaving: entry.isLeaving,
      isEvacuated: entry.isEvacuated,
      limitPerSecond: entry.limit.getPerSecond() ?? null,
      restMilliseconds: entry.isResting(now) ? Math.round(entry.getRestEnd() - now) : 0,
    }));
    const status: RouterStatus = {
      name: settings.process.name,
      zone: settings.process.zone,
      incarnation,
      isReady: this.isReady(),
      version: registry.getTable()?.version ?? null,
      ageMilliseconds: Number.isFinite(age) ? Math.round(age) : null,
      era: registry.era.getEra() ?? null,
      running: ingress.requests.getRunningCount(),
      unreachedServices: [...this.dependencies.reachability.getUnreachedServices()],
      forwarded: this.dependencies.forwarding.forwarder.getCounts(),
      evacuatedZones: [...registry.upstreams.evacuations.getZones()],
      takenOver: this.dependencies.forwarding.server.requests.getRunningCount(),
      peers: fleet.view.getLiveStates(now).map(({ name, version }) => ({ name, version })),
      upstreams,
    };
    return toJsonPage(status);
  }

  private async getMetricsPage(): Promise<OperationsPage> {
    const { registry, metrics, memory, pool } = this.dependencies;
    const age = registry.getAgeMilliseconds();
    metrics.configurationAge.set(Number.isFinite(age) ? age / millisecondsPerSecond : -1);
    metrics.registryEra.set(registry.era.getEra() ?? -1);
    metrics.evacuatedZones.set(registry.upstreams.evacuations.getZones().length);
    metrics.keptBytes.set(memory.getUsedBytes());
    metrics.pausedConnections.set(pool.pacer.getWaitingCount());
    metrics.connections.set(pool.getOpenedCount());
    this.measureWaitingNotices();
    this.measureWork();
    const text = await metrics.registry.metrics();
    return { status: 200, type: metrics.registry.contentType, text };
  }

  private measureWork(): void {
    const { reachability, metrics, getNow } = this.dependencies;
    const estimates = reachability.workEstimator.getEstimates(getNow());
    for (const { service, reading, lateMilliseconds } of estimates) {
      if (reading !== undefined) {
        const perThousand = reading.millisecondsPerToken * tokensPerEstimate;
        metrics.readingMilliseconds.set({ service }, perThousand);
        metrics.fixedMilliseconds.set({ service }, reading.fixedMilliseconds);
      }
      metrics.lateMilliseconds.set({ service }, lateMilliseconds);
    }
  }

  private measureWaitingNotices(): void {
    const { fleet, metrics, getNow } = this.dependencies;
    const now = getNow();
    for (const kind of noticeKinds) {
      const { count, oldestAddedAt = now } = fleet.getWaitingNotices(kind);
      metrics.waitingNotices.set({ kind }, count);
      metrics.oldestWaitingNotice.set({ kind }, (now - oldestAddedAt) / millisecondsPerSecond);
    }
  }

  /** Gets what this daemon has read from the registry after a position, for a peer that follows it. */
  private getChangesPage(position: number): OperationsPage {
    const { registry } = this.dependencies;
    const update = Number.isSafeInteger(position) ? registry.history.getSince(position) : undefined;
    const ageMilliseconds = registry.getAgeMilliseconds();
    if (update === undefined || !Number.isFinite(ageMilliseconds)) {
      return { status: 503, type: "text/plain", text: "not all changes are known\n" };
    }
    const relayed: RelayedUpdate = { ...update, era: registry.era.getEra(), ageMilliseconds };
    return toJsonPage(relayed);
  }

  private getPeerStatePage(knownVersion: number): OperationsPage {
    const { registry } = this.dependencies;
    const table = registry.getTable();
    const ageMilliseconds = registry.getAgeMilliseconds();
    if (table === undefined || !Number.isFinite(ageMilliseconds)) {
      return { status: 503, type: "text/plain", text: "no configuration\n" };
    }
    const state: PeerState = {
      version: table.version,
      ageMilliseconds,
      era: registry.era.getEra(),
      routing: table.version === knownVersion ? undefined : table.getRouting(),
      evacuatedZones: registry.upstreams.evacuations.getKnownZones(),
      upstreams: registry.upstreams.getEntries().map(({ record }) => record),
    };
    return toJsonPage(state);
  }
}

function toJsonPage(document: unknown): OperationsPage {
  return { status: 200, type: "application/json", text: `${JSON.stringify(document)}\n` };
}
