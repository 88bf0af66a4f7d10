/** What a daemon tells the others at every heartbeat. */
export interface PeerHeartbeat {
  readonly name: string;
  /** Address of the daemon's datagrams. */
  readonly address: string;
  /** Grows with every start of the daemon. */
  readonly incarnation: number;
  /** Address from which the daemon hands on what it knows. */
  readonly operations: string;
  /** Version of its configuration; -1 without one. */
  readonly version: number;
  /** Time since that version was last known to be the newest. */
  readonly ageMilliseconds: number;
  /** Requests in flight by id of the upstream; upstreams without any are left out. */
  readonly running: Readonly<Record<string, number>>;
}

interface Peer {
  heartbeat: PeerHeartbeat;
  receivedAt: number;
}

/** A peer that is not heard for this long counts no more, in milliseconds. */
export const peerTimeoutMilliseconds = 2_500;

/** The other daemons, as their heartbeats tell. Times are monotonic milliseconds. */
export class FleetView {
  private readonly peersByAddress = new Map<string, Peer>();
  private readonly knownAddresses = new Set<string>();
  private peakDaemonCount = 1;

  private constructor(private readonly ownAddress: string) {}

  /**
   * Creates a view that knows only where to begin.
   * @param ownAddress - Address of this daemon's datagrams.
   * @param seeds - Addresses of daemons that may live.
   */
  static create(ownAddress: string, seeds: readonly string[]): FleetView {
    const view = new FleetView(ownAddress);
    seeds.forEach((seed) => {
      view.addAddress(seed);
    });
    return view;
  }

  /**
   * Adds an address that may be a daemon's.
   * @param address - Address of its datagrams.
   */
  addAddress(address: string): void {
    if (address !== this.ownAddress) {
      this.knownAddresses.add(address);
    }
  }

  /**
   * Takes a heartbeat; one of an older incarnation changes nothing.
   * @param heartbeat - What the peer tells.
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

  /** Gets every address that may be a daemon's, this one's left out. */
  getAddresses(): readonly string[] {
    return [...this.knownAddresses];
  }

  /** Gets the heartbeats of the daemons that live. */
  getLiveHeartbeats(now: number): readonly PeerHeartbeat[] {
    return [...this.peersByAddress.values()]
      .filter(({ receivedAt }) => now - receivedAt < peerTimeoutMilliseconds)
      .map(({ heartbeat }) => heartbeat);
  }

  /**
   * Gets the live daemon whose configuration was confirmed last, if one has a version to offer.
   * @param now - Current time.
   * @param version - Version that this daemon has.
   */
  getFreshestPeer(now: number, version: number): PeerHeartbeat | undefined {
    return this.getLiveHeartbeats(now)
      .filter((peer) => peer.version >= Math.max(0, version))
      .sort((a, b) => a.ageMilliseconds - b.ageMilliseconds)[0];
  }

  /** Gets the largest number of daemons seen alive at once, this one included. */
  getPeakDaemonCount(): number {
    return this.peakDaemonCount;
  }

  /**
   * Gets the requests that the other daemons have in flight, by id of the upstream.
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
