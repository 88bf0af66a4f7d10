import {
  applyFleetNotices,
  getHash,
  type FleetNotice,
  type PrefixDirectory,
  type ContentQuarantine,
  type StartShare,
  type UpstreamTable,
} from "@pistachioway/kernel";
import { FleetTask } from "../fleet/index.js";
import type { Fields, LogLevel } from "../log/line.js";
import type { RouterMetrics } from "../metrics/RouterMetrics.js";
import type { ReachabilityTask } from "../exchange/index.js";
import type { RegistryTask } from "../registry/index.js";
import type { StreamMessage } from "../streams/index.js";
import type { NoticeLog } from "./NoticeLog.js";
import type { RouterSettings } from "./settings.js";

/** What the fleet task of a router reads and updates. */
export interface FleetTaskContext {
  readonly incarnation: number;
  readonly registry: RegistryTask;
  readonly reachability: ReachabilityTask;
  readonly prefixes: PrefixDirectory;
  readonly quarantine: ContentQuarantine;
  readonly notices: NoticeLog;
  readonly getStartShare: (service: string) => StartShare | undefined;
  readonly metrics: RouterMetrics;
  readonly onStreamMessage: (message: StreamMessage, sender: string) => void;
  /** Reads the monotonic clock, in milliseconds. */
  readonly getNow: () => number;
  /** Runs a turn of a periodic task. */
  readonly runTurn: (task: string, turn: () => void) => void;
  readonly record: (level: LogLevel, event: string, fields: Fields) => void;
}

/**
 * Creates the task that exchanges datagrams with the other routers.
 * @param settings - Settings of the router.
 * @param context - What the task reads and updates.
 */
export function createFleetTask(settings: RouterSettings, context: FleetTaskContext): FleetTask {
  const { process: self, listeners, peers } = settings;
  const { registry, prefixes, quarantine, notices, metrics, getNow } = context;
  return FleetTask.create({
    name: self.name,
    address: listeners.datagrams,
    operations: listeners.operations,
    zone: self.zone,
    incarnation: context.incarnation,
    seeds: peers.seeds.map((seed) => toDatagramAddress(settings, seed)),
    getNow,
    getRandom: Math.random,
    getOwnState: () => ({
      version: registry.getTable()?.version ?? -1,
      confirmedAt: getNow() - registry.getAgeMilliseconds(),
      running: getRunning(registry.upstreams),
      unreachedServices: new Set(context.reachability.getUnreachedServices().map(getHash)),
    }),
    getStandingNotices: (now) => quarantine.getStandingNotices(now),
    onNotices: (received: readonly FleetNotice[], sender) => {
      const { getStartShare } = context;
      const target = { upstreams: registry.upstreams, prefixes, quarantine, getStartShare };
      notices.record(applyFleetNotices(target, received, getNow()), sender);
    },
    onStreamMessage: context.onStreamMessage,
    onRefused: () => {
      metrics.refusedDatagrams.inc();
    },
    onSkippedPart: () => {
      metrics.skippedDatagramParts.inc();
    },
    onDroppedNotice: ({ kind }) => {
      metrics.droppedNotices.inc({ kind });
    },
    runTurn: context.runTurn,
    record: context.record,
  });
}

/**
 * Gets the datagram address of a seed's host; all routers use the same datagram port.
 * @param settings - Settings of this router.
 * @param seed - Address of any listener of the host.
 */
export function toDatagramAddress({ listeners }: RouterSettings, seed: string): string {
  const [host = ""] = seed.split(":");
  const [, port = ""] = listeners.datagrams.split(":");
  return `${host}:${port}`;
}

/** Gets the number of this router's requests in flight, by hash of the upstream's id. */
function getRunning(upstreams: UpstreamTable): ReadonlyMap<number, number> {
  const entries = upstreams.getEntries().filter(({ running }) => running > 0);
  return new Map(entries.map(({ hash, running }) => [hash, running]));
}
