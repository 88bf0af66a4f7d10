import type { FleetView } from "./FleetView.js";
import type { FleetMessage, FleetNotice, MemberState } from "./messages.js";
import type { WaitingNotices } from "./NoticeLane.js";
import { getNoticeBytes } from "./noticeBytes.js";
import { NoticeQueue } from "./NoticeQueue.js";
import { pickRandom } from "./pickRandom.js";

/** Number of peers that one message is sent to. */
interface TargetCounts {
  readonly total: number;
  /** Those of them outside the daemon's zone, as bytes between zones cost more. */
  readonly inOtherZones: number;
}

const usualTargets: TargetCounts = { total: 4, inOtherZones: 1 };
/** Targets while many daemons have just started and the others do not know them. */
const joiningTargets: TargetCounts = { total: 10, inOtherZones: 5 };
/** Targets of a message ahead of the round, which must reach all even while half of them are gone. */
const expressTargets: TargetCounts = { total: 6, inOtherZones: 2 };
/** Ratio of the daemons that have joined lately from which rounds are larger. */
const joiningRatio = 0.15;
/** Rounds between two messages to an address at which no daemon is known to be live. */
const roundsPerUnknownAddress = 5;
/** Estimated size of a message; it must fit into one datagram that is not fragmented. */
const maxMessageBytes = 1_280;
/** The same when much was sent ahead of the round. */
const minMessageBytes = 480;
const messageBytes = 16;
const stateBytes = 34;
const bytesPerRunningCount = 6;
const bytesPerUnreachedService = 4;
/** Bytes of a message that notices take at most, so that states of peers are passed on beside them. */
const maxNoticeBytes = 768;
/** Time between two messages ahead of the round, and from a notice to its message. */
const expressIntervalMilliseconds = 300;
const expressDelayMilliseconds = 50;
/** Bytes of a message ahead of the round that notices take at most. */
const maxExpressNoticeBytes = 168;
const maxRunningCounts = 80;
/** States of peers in a message when every peer is a target: they help those that are cut off. */
const relaysInSmallFleet = 1;
/** Time for which the states of a new daemon are passed on before those of the others. */
const joiningMilliseconds = 4_000;

/** How a daemon passes on the states of one peer. */
interface RelayRecord {
  /** How often the newest state was passed on. */
  count: number;
  /** When the first state of the peer's incarnation was received. */
  readonly joinedAt: number;
}

/** What followed from a received message. */
export interface GossipOutcome {
  /** Notices that were not known. */
  readonly notices: readonly FleetNotice[];
  /** Address of a sender that was not live before: it is told at once which daemons there are. */
  readonly newcomer: string | undefined;
}

/** Dependencies of the gossip. */
export interface FleetGossipOptions {
  readonly view: FleetView;
  /** Availability zone of this daemon. */
  readonly zone: string;
  /** Gets a random number in [0, 1). */
  readonly getRandom: () => number;
  /** Gets the notices that every message repeats while they hold, for daemons that do not know them. */
  readonly getStandingNotices: (now: number) => readonly FleetNotice[];
  /** Called with a notice that is dropped before any message held it. */
  readonly onDroppedNotice: (notice: FleetNotice) => void;
}

/**
 * Decides what a daemon tells the others, and whom.
 *
 * In each round the daemon sends one message to a few random peers: its own state, states of others
 * that it has passed on least, and notices. Each message has a bounded size, so the cost of a daemon
 * does not grow with the fleet; only the time until a state has reached all others does.
 */
export class FleetGossip {
  private readonly notices: NoticeQueue;
  private readonly relaysByAddress = new Map<string, RelayRecord>();
  private round = 0;
  private expressSentAt = -Infinity;
  /** Bytes sent ahead of the round since the last one, for each of its targets; its message is smaller by as many. */
  private expressBytes = 0;

  private constructor(private readonly options: FleetGossipOptions) {
    const { getRandom, onDroppedNotice: onDropped } = options;
    this.notices = NoticeQueue.create({ getRandom, onDropped });
  }

  /**
   * Creates gossip that has sent nothing.
   * @param options - Dependencies of the gossip.
   */
  static create(options: FleetGossipOptions): FleetGossip {
    return new FleetGossip(options);
  }

  /**
   * Adds a notice of this daemon.
   * @param notice - The notice.
   * @param now - Current time.
   */
  addNotice(notice: FleetNotice, now: number): void {
    this.notices.add(notice, now);
  }

  /**
   * Gets how many notices of a kind no message has held yet, and since when.
   * @param kind - Kind of the notices.
   */
  getWaitingNotices(kind: FleetNotice["kind"]): WaitingNotices {
    return this.notices.getWaiting(kind);
  }

  /**
   * Picks the addresses that the message of a round is sent to.
   * @param now - Current time.
   */
  pickTargets(now: number): readonly string[] {
    this.round += 1;
    const live = this.options.view.getLiveStates(now);
    const counts = this.getTargetCounts(live, now);
    return [...this.pickLive(live, counts), ...this.pickUnknown(live)];
  }

  /**
   * Picks the addresses that a message ahead of the round is sent to.
   * @param now - Current time.
   */
  pickExpressTargets(now: number): readonly string[] {
    return this.pickLive(this.options.view.getLiveStates(now), expressTargets);
  }

  private pickLive(
    live: readonly MemberState[],
    { total, inOtherZones }: TargetCounts,
  ): readonly string[] {
    const near = live.filter(({ zone }) => zone === this.options.zone);
    const far = live.filter(({ zone }) => zone !== this.options.zone);
    const farCount = Math.max(inOtherZones, total - near.length);
    const nearCount = total - Math.min(farCount, far.length);
    const { getRandom } = this.options;
    const targets = [
      ...pickFresh(near, nearCount, getRandom),
      ...pickFresh(far, farCount, getRandom),
    ];
    return targets.map(({ address }) => address);
  }

  /**
   * Creates the message of a round.
   * @param own - State of this daemon.
   * @param now - Current time.
   */
  createMessage(own: MemberState, now: number): FleetMessage {
    this.options.view.updateLiveDaemons(now);
    const standing = this.options.getStandingNotices(now);
    const ownBytes = messageBytes + getStateBytes(own);
    const maxBytes = Math.max(minMessageBytes, maxMessageBytes - this.expressBytes);
    this.expressBytes = 0;
    const noticeBytes = Math.min(maxNoticeBytes, maxBytes - ownBytes);
    const notices = [...standing, ...this.notices.take(noticeBytes - getNoticeBytes(standing))];
    const states = [limitRunning(own)];
    let bytes = ownBytes + getNoticeBytes(notices);
    for (const state of this.getRelayedStates(now)) {
      bytes += getStateBytes(state);
      if (bytes > maxBytes) {
        break;
      }
      this.countRelay(state);
      states.push(state);
    }
    return { states, notices };
  }

  /**
   * Gets when a message ahead of the round is due, because a notice that all daemons decide on waits.
   * @returns Undefined when none waits.
   */
  getExpressAt(): number | undefined {
    const waitingSince = this.notices.getOldestDecisionAt();
    return waitingSince === undefined
      ? undefined
      : Math.max(
          waitingSince + expressDelayMilliseconds,
          this.expressSentAt + expressIntervalMilliseconds,
        );
  }

  /**
   * Creates a message ahead of the round: the own state, and notices that all daemons decide on.
   * @param own - State of this daemon.
   * @param now - Current time.
   */
  createExpressMessage(own: MemberState, now: number): FleetMessage {
    this.expressSentAt = now;
    const notices = this.notices.takeDecisions(maxExpressNoticeBytes);
    const bytes = messageBytes + getStateBytes(own) + getNoticeBytes(notices);
    this.expressBytes += (bytes * expressTargets.total) / usualTargets.total;
    return { states: [limitRunning(own)], notices };
  }

  /**
   * Applies a received message to the view.
   * @param message - Message of a peer.
   * @param now - Current time.
   */
  receive(message: FleetMessage, now: number): GossipOutcome {
    const newcomer = this.getNewcomer(message, now);
    message.states.forEach((state) => {
      this.receiveState(state, now);
    });
    const notices = message.notices.filter(
      (notice) => isStanding(notice) || this.notices.add(notice, now),
    );
    return { notices, newcomer };
  }

  private getNewcomer({ states }: FleetMessage, now: number): string | undefined {
    const [sender] = states;
    const known = sender && this.options.view.getLiveState(sender.address, now);
    return known?.incarnation === sender?.incarnation ? undefined : sender?.address;
  }

  private receiveState(state: MemberState, now: number): void {
    const { view } = this.options;
    const isJoining = view.isNewIncarnation(state);
    if (view.addState(state)) {
      const known = this.relaysByAddress.get(state.address);
      const joinedAt = isJoining ? now : (known?.joinedAt ?? now);
      this.relaysByAddress.set(state.address, { count: 0, joinedAt });
    }
  }

  private countRelay({ address }: MemberState): void {
    const record = this.relaysByAddress.get(address);
    if (record !== undefined) {
      record.count += 1;
    }
  }

  private getTargetCounts(live: readonly MemberState[], now: number): TargetCounts {
    const joining = live.filter((state) => this.isJoining(state, now));
    return joining.length > live.length * joiningRatio ? joiningTargets : usualTargets;
  }

  private getRelayedStates(now: number): readonly MemberState[] {
    const live = this.options.view.getLiveStates(now);
    const ordered = live
      .map((state) => ({ state, rank: this.getRank(state, now) }))
      .sort((a, b) => a.rank - b.rank || b.state.sampledAt - a.state.sampledAt)
      .map(({ state }) => state);
    return live.length <= usualTargets.total ? ordered.slice(0, relaysInSmallFleet) : ordered;
  }

  /** Ranks a state by how often it was passed on; those of new daemons come first. */
  private getRank(state: MemberState, now: number): number {
    const relays = this.relaysByAddress.get(state.address)?.count ?? 0;
    return 2 * relays + (this.isJoining(state, now) ? 0 : 1);
  }

  private isJoining({ address }: MemberState, now: number): boolean {
    const record = this.relaysByAddress.get(address);
    return record !== undefined && now - record.joinedAt < joiningMilliseconds;
  }

  /** Picks addresses without a live daemon: several while no peer is known, one now and then later. */
  private pickUnknown(live: readonly MemberState[]): readonly string[] {
    const liveAddresses = new Set(live.map(({ address }) => address));
    const unknown = this.options.view.getAddresses().filter((each) => !liveAddresses.has(each));
    if (live.length > 0 && this.round % roundsPerUnknownAddress !== 0) {
      return [];
    }
    return pickRandom(unknown, live.length > 0 ? 1 : usualTargets.total, this.options.getRandom);
  }
}

/** Picks the daemons last heard of among twice as many random ones, since the others may be gone. */
function pickFresh(
  live: readonly MemberState[],
  count: number,
  getRandom: () => number,
): readonly MemberState[] {
  return [...pickRandom(live, 2 * count, getRandom)]
    .sort((a, b) => b.sampledAt - a.sampledAt)
    .slice(0, count);
}

/** Checks whether a notice is repeated by every daemon that knows it, so that it needs no queue. */
function isStanding({ kind }: FleetNotice): boolean {
  return kind === "quarantine";
}

/** Keeps the largest counts of a state that would not fit into a message. */
function limitRunning(state: MemberState): MemberState {
  if (state.running.size <= maxRunningCounts) {
    return state;
  }
  const largest = [...state.running].sort(([, a], [, b]) => b - a).slice(0, maxRunningCounts);
  return { ...state, running: new Map(largest) };
}

function getStateBytes({ name, address, zone, running, unreachedServices }: MemberState): number {
  const textBytes = name.length + address.length + zone.length;
  const countBytes = Math.min(running.size, maxRunningCounts) * bytesPerRunningCount;
  return stateBytes + textBytes + countBytes + unreachedServices.size * bytesPerUnreachedService;
}
