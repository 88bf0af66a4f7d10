import {
  choosePeer,
  getHash,
  type FleetView,
  type MemberState,
  type UpstreamNotice,
  type UpstreamTable,
} from "@pistachioway/kernel";
import type { ConnectionPool } from "../exchange/index.js";
import type { AcceptedRequest, AttemptConstraints, AttemptTarget } from "../ingress/index.js";
import type { Fields, LogLevel } from "../log/line.js";
import type { RouterMetrics } from "../metrics/RouterMetrics.js";
import { PeerTarget } from "./PeerTarget.js";
import type { ForwardedRequest } from "./messages.js";

/** What the forwarder depends on. */
export interface PeerForwarderDependencies {
  /** Name of this daemon. */
  readonly name: string;
  readonly zone: string;
  readonly view: FleetView;
  readonly upstreams: UpstreamTable;
  /** Receives what a response told about its upstream. */
  readonly onNotices: (notices: readonly UpstreamNotice[]) => void;
  /** Connections to peers. */
  readonly pool: ConnectionPool;
  readonly metrics: RouterMetrics;
  readonly getNow: () => number;
  /** Gets a random number in [0, 1). */
  readonly getRandom: () => number;
  /** Gets the version of the configuration in force. */
  readonly getVersion: () => number;
  readonly record: (level: LogLevel, event: string, fields: Fields) => void;
}

/** Time for which a peer that could not take a request is not asked again for the same service. */
const unableMilliseconds = 500;
/** Ids of tried upstreams that are told to a peer. */
const maxTriedUpstreams = 16;

/** Sends requests through peers while this daemon reaches no upstream of their service by itself. */
export class PeerForwarder {
  /** When peers may be asked again, by address and service. */
  private readonly ableAt = new Map<string, number>();
  private readonly countsByAddress = new Map<string, number>();

  private constructor(private readonly dependencies: PeerForwarderDependencies) {}

  /**
   * Creates a forwarder that has sent nothing.
   * @param dependencies - What it depends on.
   */
  static create(dependencies: PeerForwarderDependencies): PeerForwarder {
    return new PeerForwarder(dependencies);
  }

  /**
   * Chooses the peer that a request is sent through.
   * @param request - The request.
   * @param constraints - What its next attempt must not or may only use.
   * @returns Undefined when no peer is known to reach the service.
   */
  choose(request: AcceptedRequest, constraints: AttemptConstraints): AttemptTarget | undefined {
    const { view, zone, getNow, getRandom } = this.dependencies;
    const now = getNow();
    const peer = choosePeer(view.getLiveStates(now), {
      service: getHash(request.service),
      zone,
      isExcluded: (address) => (this.ableAt.get(getKey(address, request)) ?? now) > now,
      getForwardedCount: (address) => this.countsByAddress.get(address) ?? 0,
      getRandom,
    });
    return peer && this.createTarget(peer, request, constraints);
  }

  /** Gets the number of requests in flight through each peer, by its address. */
  getCounts(): Readonly<Record<string, number>> {
    return Object.fromEntries(this.countsByAddress);
  }

  private createTarget(
    peer: MemberState,
    request: AcceptedRequest,
    constraints: AttemptConstraints,
  ): AttemptTarget {
    return PeerTarget.create({
      peer,
      request,
      pool: this.dependencies.pool,
      createHead: (lastEventId) => this.createHead(request, constraints, lastEventId),
      onStart: () => {
        this.count(peer, 1);
        this.dependencies.metrics.forwardedRequests.inc({ result: "sent" });
      },
      onFinish: () => {
        this.count(peer, -1);
      },
      onLeaving: (upstream) => {
        this.handleLeaving(upstream);
      },
      onRefused: (reason) => {
        this.handleRefusal(peer, request, reason);
      },
    });
  }

  private createHead(
    { head, method, path, hasBody, body, approval, service, deadline }: AcceptedRequest,
    { softwareVersion, excluded }: AttemptConstraints,
    lastEventId: string | undefined,
  ): ForwardedRequest {
    const { name, getNow, getVersion } = this.dependencies;
    const { route, team } = approval;
    return {
      sender: name,
      version: getVersion(),
      head: {
        ...head,
        promptBlocks: [...head.promptBlocks],
        passedHeaders: [...head.passedHeaders],
      },
      lastEventId,
      method,
      path,
      hasBody,
      bodyBytes: body.length,
      route,
      team: team && { name: team.name, priority: team.priority },
      service,
      softwareVersion,
      triedUpstreams: [...excluded].slice(-maxTriedUpstreams),
      remainingMilliseconds: Math.max(1, deadline - getNow()),
    };
  }

  private handleLeaving(id: string): void {
    const { upstreams, onNotices } = this.dependencies;
    const entry = upstreams.getEntry(id);
    if (entry !== undefined && upstreams.markLeaving(entry.record)) {
      onNotices([{ kind: "leaving", upstream: id }]);
    }
  }

  private handleRefusal(peer: MemberState, request: AcceptedRequest, reason: string): void {
    this.ableAt.set(getKey(peer.address, request), this.dependencies.getNow() + unableMilliseconds);
    this.dependencies.metrics.forwardedRequests.inc({ result: "refused" });
    const fields = { request: request.head.id, peer: peer.name, service: request.service, reason };
    this.dependencies.record("info", "request.peer-refused", fields);
  }

  private count({ address }: MemberState, change: number): void {
    const count = (this.countsByAddress.get(address) ?? 0) + change;
    if (count > 0) {
      this.countsByAddress.set(address, count);
    } else {
      this.countsByAddress.delete(address);
    }
  }
}

function getKey(address: string, { service }: AcceptedRequest): string {
  return `${address} ${service}`;
}
