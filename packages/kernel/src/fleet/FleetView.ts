import type { UpstreamIncarnation } from "../upstreams/index.js";

/** Heartbeat that a daemon sends to the others. */
export interface PeerHeartbeat {
  readonly name: string;
  /** Address at which the daemon receives datagrams. */
  readonly address: string;
  /** Grows with every start of the daemon. */
  readonly incarnation: number;
  /** Address at which peers read the daemon's configuration and upstreams. */
  readonly operations: string;
  /** Version of the daemon's configuration; -1 without one. */
  readonly version: number;
  /** Time since that version was last known to be the newest. */
  readonly ageMilliseconds: number;
  /** Time of day at the sender, in milliseconds since the epoch; the clocks of two hosts may differ. */
  readonly sentAt: number;
  /** Requests in flight by id of the upstream; upstreams without any are left out. */
  readonly running: Readonly<Record<string, number>>;
  /** Incarnations of upstreams that were learned to leave last, newest first. */
  readonly leaving: readonly UpstreamIncarnation[];
  /** Upstreams that asked the daemon for a rest. */
  readonly resting: readonly RestingUpstream[];
}

/** An upstream that asked a daemon for no requests until a time. */
export interface RestingUpstream {
  readonly id: string;
  /** End of that time by the clock of the heartbeat's sender, in milliseconds since the epoch. */
  readonly endsAt: number;
}

interface Peer {
  heartbeat: PeerHeartbeat;
  receivedAt: number;
}

/** Time without a heartbeat after which a peer no longer counts as live. */
export const peerTimeoutMilliseconds = 2_500;

/** The other daemons and their newest heartbeats. Times are monotonic milliseconds. */
export class FleetView {
  private readonly peersByAddress = new Map<string, Peer>();
  private readonly knownAddresses = new Set<string>();
  private peakDaemonCount = 1;

  private constructor(private readonly ownAddress: string) {}

  /**
   * Creates a view without heartbeats.
   * @param ownAddress - Address at which this daemon receives datagrams.
   * @param seeds - Addresses of other daemons to contact first.
   */
  static create(ownAddress: string, seeds: readonly string[]): FleetView {
    const view = new FleetView(ownAddress);
    seeds.forEach((seed) => {
      view.addAddress(seed);
    });
    return view;
  }

  /**
   * Adds the address of a possible daemon.
   * @param address - Address at which it receives datagrams.
   */
  addAddress(address: string): void {
    if (address !== this.ownAddress) {
      this.knownAddresses.add(address);
    }
  }

  /**
   * Adds a received heartbeat; one of an older incarnation is ignored.
   * @param heartbeat - Heartbeat of the peer.
   * @param now - Time of arrival.
   */
  addHeartbeat(heartbeat: PeerHeartbeat, now: number): void {
    const known = this.peersByAddress.get(heartbeat.address);
    const isOld = known !== undefined && known.heartbeat.incarnation > heartbeat.incarnation;
    if (heartbeat.address === this.ownAddress || isOld) {
      return;
    }
    this.addAddress(heartbeat.address);
    this.peersByAddress.set(heartbeat.address, { heartbeat, receivedAt: now });
    this.peakDaemonCount = Math.max(this.peakDaemonCount, this.getLiveHeartbeats(now).length + 1);
  }

  /** Gets the addresses of all possible daemons except this one. */
  getAddresses(): readonly string[] {
    return [...this.knownAddresses];
  }

  /** Gets the newest heartbeats of the live daemons. */
  getLiveHeartbeats(now: number): readonly PeerHeartbeat[] {
    return [...this.peersByAddress.values()]
      .filter(({ receivedAt }) => now - receivedAt < peerTimeoutMilliseconds)
      .map(({ heartbeat }) => heartbeat);
  }

  /**
   * Gets the live daemon whose configuration was most recently known to be the newest. Daemons without
   * a configuration and those with an older version than this daemon are left out.
   * @param now - Current time.
   * @param version - Version that this daemon has.
   */
  getFreshestPeer(now: number, version: number): PeerHeartbeat | undefined {
    return this.getLiveHeartbeats(now)
      .filter((peer) => peer.version >= Math.max(0, version))
      .sort((a, b) => a.ageMilliseconds - b.ageMilliseconds)[0];
  }

  /**
   * Gets the live daemon with the highest version of the configuration above a version, if any.
   * @param now - Current time.
   * @param version - Version that this daemon has.
   */
  getNewestPeer(now: number, version: number): PeerHeartbeat | undefined {
    return this.getLiveHeartbeats(now)
      .filter((peer) => peer.version > version)
      .sort((a, b) => b.version - a.version)[0];
  }

  /**
   * Gets the largest number of daemons that were live at once, including this one. A partition does
   * not reduce it, so each daemon's share of a common limit does not grow.
   */
  getPeakDaemonCount(): number {
    return this.peakDaemonCount;
  }

  /**
   * Gets the number of requests that the other live daemons have in flight, by id of the upstream.
   * @param now - Current time.
   */
  getRunningCounts(now: number): ReadonlyMap<string, number> {
    const totals = new Map<string, number>();
    for (const { running } of this.getLiveHeartbeats(now)) {
      for (const [id, count] of Object.entries(running)) {
        totals.set(id, (totals.get(id) ?? 0) + count);
      }
    }
    return totals;
  }
}
