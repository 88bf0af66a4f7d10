import type { MemberState } from "./messages.js";

/** Time without a newer state after which a peer no longer counts as live, in a small fleet. */
export const peerTimeoutMilliseconds = 2_500;
/** The same for each daemon of the fleet, as states take longer to arrive in a larger one. */
const timeoutMillisecondsPerDaemon = 60;
/** Peers whose configurations were confirmed this close together are equally fresh. */
const freshnessToleranceMilliseconds = 300;
const maxKnownAddresses = 4_096;

/** The other daemons and their newest states. Times are monotonic milliseconds. */
export class FleetView {
  private readonly statesByAddress = new Map<string, MemberState>();
  private readonly knownAddresses = new Set<string>();
  private peakDaemonCount = 1;
  private position = 0;
  private peakPosition = 0;

  private constructor(private readonly ownAddress: string) {}

  /**
   * Creates a view without states.
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
    if (address !== this.ownAddress && this.knownAddresses.size < maxKnownAddresses) {
      this.knownAddresses.add(address);
    }
  }

  /**
   * Adds a received state.
   * @param state - State of a daemon.
   * @returns False if the state is this daemon's own, or not newer than the known one.
   */
  addState(state: MemberState): boolean {
    if (state.address === this.ownAddress || !this.isNewer(state)) {
      return false;
    }
    this.addAddress(state.address);
    this.statesByAddress.set(state.address, state);
    return true;
  }

  /**
   * Checks whether a possible daemon runs on a host.
   * @param host - IPv4 address of the host.
   */
  isKnownHost(host: string): boolean {
    return this.getAddresses().some((address) => address.startsWith(`${host}:`));
  }

  /** Gets the addresses of all possible daemons except this one. */
  getAddresses(): readonly string[] {
    return [...this.knownAddresses];
  }

  /** Checks whether a state is the first of its incarnation. */
  isNewIncarnation({ address, incarnation }: MemberState): boolean {
    return this.statesByAddress.get(address)?.incarnation !== incarnation;
  }

  /**
   * Gets the newest state of a daemon, if it is live.
   * @param address - Address at which the daemon receives datagrams.
   * @param now - Current time.
   */
  getLiveState(address: string, now: number): MemberState | undefined {
    const state = this.statesByAddress.get(address);
    return state !== undefined && this.isLive(state, now) ? state : undefined;
  }

  /** Gets the newest states of the live daemons. */
  getLiveStates(now: number): readonly MemberState[] {
    return [...this.statesByAddress.values()].filter((state) => this.isLive(state, now));
  }

  /**
   * Gets a live daemon whose configuration was most recently known to be the newest. Daemons without
   * a configuration and those with an older version than this daemon are left out. Of several that
   * are equally fresh one is picked at random, so that not all daemons ask the same peer.
   * @param now - Current time.
   * @param version - Version that this daemon has.
   * @param random - Random number in [0, 1).
   */
  getFreshestPeer(now: number, version: number, random = 0): MemberState | undefined {
    const peers = this.getLiveStates(now).filter((peer) => peer.version >= Math.max(0, version));
    const newest = Math.max(...peers.map(({ confirmedAt }) => confirmedAt));
    return pick(
      peers.filter(({ confirmedAt }) => confirmedAt >= newest - freshnessToleranceMilliseconds),
      random,
    );
  }

  /**
   * Gets a live daemon with the highest version of the configuration above a version, if any.
   * @param now - Current time.
   * @param version - Version that this daemon has.
   * @param random - Random number in [0, 1).
   */
  getNewestPeer(now: number, version: number, random = 0): MemberState | undefined {
    const peers = this.getLiveStates(now).filter((peer) => peer.version > version);
    const highest = Math.max(...peers.map((peer) => peer.version));
    return pick(
      peers.filter((peer) => peer.version === highest),
      random,
    );
  }

  /**
   * Gets the largest number of daemons that were live at once, including this one. A partition does
   * not reduce it, so each daemon's share of a common limit does not grow.
   */
  getPeakDaemonCount(): number {
    return this.peakDaemonCount;
  }

  /**
   * Gets the place of this daemon among the live ones, in [0, 1). The places of all of them are evenly spaced, as far as
   * they agree on who is live.
   */
  getPosition(): number {
    return this.position;
  }

  /**
   * Gets the place of this daemon among the live ones when they were last as many as ever. The parts of a split fleet keep
   * different places by it.
   */
  getPeakPosition(): number {
    return this.peakPosition;
  }

  /**
   * Updates the largest number of daemons that were live at once, and the place of this daemon among them.
   * @param now - Current time.
   */
  updateLiveDaemons(now: number): void {
    const peers = this.getLiveStates(now);
    const count = peers.length + 1;
    this.peakDaemonCount = Math.max(this.peakDaemonCount, count);
    this.position = peers.filter(({ address }) => address < this.ownAddress).length / count;
    this.peakPosition = count === this.peakDaemonCount ? this.position : this.peakPosition;
  }

  /**
   * Gets the number of requests that the other live daemons have in flight, by hash of the
   * upstream's id.
   * @param now - Current time.
   */
  getRunningCounts(now: number): ReadonlyMap<number, number> {
    const totals = new Map<number, number>();
    for (const { running } of this.getLiveStates(now)) {
      for (const [upstream, count] of running) {
        totals.set(upstream, (totals.get(upstream) ?? 0) + count);
      }
    }
    return totals;
  }

  private isLive({ sampledAt }: MemberState, now: number): boolean {
    const timeout =
      peerTimeoutMilliseconds + timeoutMillisecondsPerDaemon * this.statesByAddress.size;
    return now - sampledAt < timeout;
  }

  /**
   * Checks whether a state is newer than the known one. The incarnation of a daemon whose clock was
   * stepped back is lower than its former one, so after a timeout any state is newer.
   */
  private isNewer({ address, incarnation, sequence, sampledAt }: MemberState): boolean {
    const known = this.statesByAddress.get(address);
    return (
      known === undefined ||
      sampledAt > known.sampledAt + peerTimeoutMilliseconds ||
      incarnation > known.incarnation ||
      (incarnation === known.incarnation && sequence > known.sequence)
    );
  }
}

function pick<Item>(items: readonly Item[], random: number): Item | undefined {
  return items[Math.floor(random * items.length)];
}
