import type { FleetView, RouteTable } from "@pistachioway/kernel";
import { ConnectionPool } from "../exchange/index.js";
import { ForwardingServer, maxForwardedHeadBytes, PeerForwarder } from "../forwarding/index.js";
import type { ActiveRequestDependencies } from "../ingress/index.js";
import type { RouterSettings } from "./settings.js";

/** What the forwarding between routers reads. */
export interface ForwardingContext {
  readonly view: FleetView;
  /** Dependencies of requests, without a forwarder. */
  readonly requestDependencies: ActiveRequestDependencies;
  readonly getTable: () => RouteTable | undefined;
  /** True while the router stops. */
  readonly isDraining: () => boolean;
  /** True while the router has no processor time to spare. */
  readonly isBusy: () => boolean;
}

/** Both sides of the forwarding between routers. */
export interface Forwarding {
  readonly forwarder: PeerForwarder;
  readonly server: ForwardingServer;
  /** Connections to peers. */
  readonly pool: ConnectionPool;
}

/**
 * Creates both sides of the forwarding between routers. Peers know a router by the host of its datagrams, so that it
 * connects to them from there.
 * @param settings - Settings of the router.
 * @param context - What the forwarding reads.
 */
export function createForwarding(
  { process: self, listeners }: RouterSettings,
  { view, requestDependencies, getTable, isDraining, isBusy }: ForwardingContext,
): Forwarding {
  const [localAddress = ""] = listeners.datagrams.split(":");
  const options = { localAddress, maxHeaderBytes: maxForwardedHeadBytes };
  const pool = ConnectionPool.create(options, requestDependencies.pool.pacer);
  const { upstreams, onNotices, metrics, getNow, getRandom, getVersion, record } =
    requestDependencies;
  const forwarder = PeerForwarder.create({
    name: self.name,
    zone: self.zone,
    view,
    upstreams,
    onNotices,
    pool,
    metrics,
    getNow,
    getRandom,
    getVersion,
    record,
  });
  const server = ForwardingServer.create({
    requestDependencies,
    getTable,
    isPeerHost: (host) => view.isKnownHost(host),
    isDraining,
    isBusy,
  });
  return { forwarder, server, pool };
}
