import {
  checkRequest,
  type ContentQuarantine,
  type HeaderCodec,
  type MemoryBudget,
  type PrefixDirectory,
} from "@pistachioway/kernel";
import type { ConnectionPool, ReachabilityTask } from "../exchange/index.js";
import type { FleetTask } from "../fleet/index.js";
import {
  RetryBudgets,
  type ActiveRequestDependencies,
  type AdmissionQueues,
  type TickListeners,
} from "../ingress/index.js";
import type { Fields, LogLevel } from "../log/line.js";
import type { RouterMetrics } from "../metrics/RouterMetrics.js";
import type { RegistryTask } from "../registry/index.js";
import type { StreamDirectory } from "../streams/index.js";
import { readMonotonicClock } from "./clocks.js";
import { getFreshnessBounds } from "./getFreshnessBounds.js";
import { getLimitShare } from "./getLimitShare.js";
import type { NoticeLog } from "./NoticeLog.js";
import type { RouterSettings } from "./settings.js";
import { tellFleet } from "./tellFleet.js";
import type { TickLag } from "./TickLag.js";
import type { UpstreamStarts } from "./UpstreamStarts.js";

/** Tasks and state of a router that its requests use. */
export interface RequestDependenciesContext {
  readonly settings: RouterSettings;
  readonly codec: HeaderCodec;
  readonly registry: RegistryTask;
  readonly fleet: FleetTask;
  readonly reachability: ReachabilityTask;
  readonly admission: AdmissionQueues;
  readonly starts: UpstreamStarts;
  readonly streams: StreamDirectory;
  readonly notices: NoticeLog;
  readonly pool: ConnectionPool;
  readonly prefixes: PrefixDirectory;
  readonly quarantine: ContentQuarantine;
  readonly memory: MemoryBudget;
  readonly ticks: TickListeners;
  readonly lag: TickLag;
  readonly metrics: RouterMetrics;
  /** Monotonic time of the router's start, in milliseconds. */
  readonly startedAt: number;
  readonly record: (level: LogLevel, event: string, fields: Fields) => void;
}

/**
 * Creates what the requests of a router depend on that go no further than to upstreams.
 * @param context - Tasks and state of the router.
 */
export function createRequestDependencies(
  context: RequestDependenciesContext,
): ActiveRequestDependencies {
  const { settings, registry, fleet, notices, startedAt } = context;
  const { upstreams } = registry;
  const { view } = fleet;
  const bounds = getFreshnessBounds(settings);
  return {
    upstreams,
    pool: context.pool,
    reachability: context.reachability,
    codec: context.codec,
    admission: context.admission,
    retryBudgets: RetryBudgets.create(settings.retries),
    prefixes: context.prefixes,
    workEstimator: context.reachability.workEstimator,
    quarantine: context.quarantine,
    streams: context.streams,
    metrics: context.metrics,
    memory: context.memory,
    forwarder: undefined,
    ticks: context.ticks,
    zone: settings.process.zone,
    getNow: readMonotonicClock,
    getEarliestArrival: () => context.lag.getEarliest(readMonotonicClock()),
    getRandom: Math.random,
    onNotices: (learned) => {
      notices.record(learned, "response");
      tellFleet(fleet, upstreams, learned);
    },
    addFleetNotice: (notice) => {
      fleet.addNotice(notice);
    },
    getService: (name) => registry.getTable()?.getService(name),
    getLimitShare: () => getLimitShare(view, startedAt, readMonotonicClock()),
    getStartShare: (service) => context.starts.getShare(service),
    getDaemonCount: () => view.getPeakDaemonCount(),
    checkRequest: (identity) =>
      checkRequest(registry.getTable(), registry.getAgeMilliseconds(), identity, bounds),
    getVersion: () => registry.getTable()?.version ?? -1,
    getAgeMilliseconds: () => registry.getAgeMilliseconds(),
    record: context.record,
  };
}
