import type { FleetTask } from "../fleet/index.js";
import type { RequestServer } from "../ingress/index.js";
import { ListenerStart, type Listener } from "../listening/index.js";
import type { Fields, LogLevel } from "../log/line.js";
import type { RouterMetrics } from "../metrics/RouterMetrics.js";
import type { OperationsServers } from "./OperationsServers.js";
import type { RouterSettings } from "./settings.js";

/** What the start of a router's listeners opens and reports to. */
export interface ListenerStartContext {
  readonly servers: OperationsServers;
  readonly fleet: FleetTask;
  /** Server of requests that peers forward. */
  readonly forwarding: RequestServer;
  /** Server of requests of callers. */
  readonly callers: RequestServer;
  readonly metrics: RouterMetrics;
  /** When the process started, in monotonic milliseconds. */
  readonly startedAt: number;
  /** Reads the monotonic clock, in milliseconds. */
  readonly getNow: () => number;
  readonly record: (level: LogLevel, event: string, fields: Fields) => void;
}

/** Time in which the needed listeners listen. It is longer than a planned stop, whose process has the same addresses. */
const listenTimeoutMilliseconds = 10_000;

/**
 * Creates the start of a router's listeners. The readiness page comes first, so that the load balancer sees a router
 * that is not ready, and callers come last.
 * @param settings - Settings of the router.
 * @param context - What it opens and reports to.
 */
export function createListenerStart(
  settings: RouterSettings,
  context: ListenerStartContext,
): ListenerStart {
  const { metrics, startedAt, getNow, record } = context;
  return ListenerStart.create({
    listeners: createListeners(settings, context),
    deadline: startedAt + listenTimeoutMilliseconds,
    getNow,
    onAttempt: (listener, result) => {
      metrics.listenAttempts.inc({ listener, result });
    },
    record,
  });
}

function createListeners(
  { listeners: addresses }: RouterSettings,
  { servers, fleet, forwarding, callers, record }: ListenerStartContext,
): readonly Listener[] {
  const create = (
    name: string,
    address: string,
    server: Pick<RequestServer, "listen">,
    isNeeded = true,
  ): Listener => {
    const onError = ({ message }: Error): void => {
      record("error", "listener.failed", { listener: name, address, detail: message });
    };
    return { name, address, isNeeded, listen: () => server.listen(address, onError) };
  };
  const { readiness, operations, metrics, datagrams } = addresses;
  return [
    create("readiness", readiness, servers.readiness),
    create("operations", operations, servers.operations),
    { name: "datagrams", address: datagrams, isNeeded: true, listen: () => fleet.start() },
    create("forwarding", datagrams, forwarding),
    create("callers", addresses.callers, callers),
    ...(metrics === undefined ? [] : [create("metrics", metrics, servers.metrics, false)]),
  ];
}
