import type { Instant } from "../kernel/Plugin.js";
import type { EngineLoad } from "./EngineLoad.js";
import type { LoadCounts } from "./LoadCounts.js";
import type { SendEffect } from "./messages.js";
import type {
  ChatMove,
  EngineCount,
  ModelCount,
  PlacementPeerMessage,
  Reservation,
  ReservationAnswer,
} from "./peerMessage.js";

interface PendingChanges {
  /** When the counts first differed from what the peer was told. */
  changedAt: Instant;
  moves: ChatMove[];
}

const maxMovesPerMessage = 64;

/** Composes the datagrams to each peer and holds back what need not be told at once. */
export class PeerMessageQueue {
  private readonly pendingByPeer = new Map<string, PendingChanges>();
  private sequence = 0;

  private constructor(private readonly loadCounts: LoadCounts) {}

  /**
   * Creates an empty outbox.
   * @param loadCounts - Ledger whose counts are told.
   */
  static create(loadCounts: LoadCounts): PeerMessageQueue {
    return new PeerMessageQueue(loadCounts);
  }

  /**
   * Notes that the counts of a peer's engines changed.
   * @param peer - Owner of the engines.
   * @param now - Current time.
   */
  addChange(peer: string, now: Instant): void {
    if (!this.pendingByPeer.has(peer)) {
      this.pendingByPeer.set(peer, { changedAt: now, moves: [] });
    }
  }

  /**
   * Adds a chat's new engine to the next datagram to a peer.
   * @param peer - Owner of the chat's first choice.
   * @param move - The chat and its engine.
   * @param now - Current time.
   */
  addMove(peer: string, move: ChatMove, now: Instant): void {
    this.addChange(peer, now);
    this.pendingByPeer.get(peer)?.moves.push(move);
  }

  /**
   * Gets the peers whose counts changed at or before an instant.
   * @param changedBefore - Newest change to include.
   */
  getChangedPeers(changedBefore: Instant): string[] {
    return [...this.pendingByPeer]
      .filter(([, pending]) => pending.changedAt <= changedBefore)
      .map(([peer]) => peer);
  }

  /**
   * Composes a reservation.
   * @param to - Owner of the engine.
   * @param reservation - Reservation to send.
   * @param now - Current time.
   */
  composeReservation(to: string, reservation: Reservation, now: Instant): SendEffect {
    return this.compose(to, now, { reservations: [reservation] });
  }

  /**
   * Composes an answer to a reservation.
   * @param to - Daemon that asked.
   * @param answer - Answer to send.
   * @param now - Current time.
   */
  composeAnswer(to: string, answer: ReservationAnswer, now: Instant): SendEffect {
    const message = { ...this.createMessage(now), answers: [answer] };
    return { kind: "send", to, message };
  }

  /**
   * Composes the counts that changed.
   * @param to - Owner of the engines.
   * @param now - Current time.
   */
  composeCounts(to: string, now: Instant): SendEffect {
    return this.compose(to, now, {});
  }

  /**
   * Composes a digest, with the counts of the engines that this daemon owns.
   * @param to - Daemon to tell.
   * @param claims - Counts of the owned engines.
   * @param now - Current time.
   */
  composeGossip(to: string, claims: readonly EngineCount[], now: Instant): SendEffect {
    return this.compose(to, now, { claims: [...claims] });
  }

  private compose(to: string, now: Instant, fields: Partial<PlacementPeerMessage>): SendEffect {
    const moves = this.takeMoves(to, now);
    const counts = this.getOwnCounts(to);
    return {
      kind: "send",
      to,
      message: { ...this.createMessage(now), counts, moves, ...fields },
    };
  }

  private createMessage(now: Instant): PlacementPeerMessage {
    this.sequence = Math.max(this.sequence + 1, Math.floor(now));
    return {
      sequence: this.sequence >>> 0,
      counts: null,
      totals: this.getTotals(),
      claims: null,
      reservations: [],
      answers: [],
      moves: [],
    };
  }

  private takeMoves(to: string, now: Instant): ChatMove[] {
    const moves = this.pendingByPeer.get(to)?.moves ?? [];
    this.pendingByPeer.delete(to);
    const rest = moves.splice(maxMovesPerMessage);
    if (rest.length > 0) {
      this.pendingByPeer.set(to, { changedAt: now, moves: rest });
    }
    return moves;
  }

  private getTotals(): ModelCount[] {
    return [...this.loadCounts.groupsById.values()]
      .filter((group) => group.ownCount > 0)
      .map((group) => ({ model: group.id, count: group.ownCount }));
  }

  private getOwnCounts(owner: string): EngineCount[] {
    const counts: EngineCount[] = [];
    for (const engine of this.loadCounts.getEnginesOf(owner)) {
      engine.lastReportedOwnCount = engine.ownCount;
      addCount(counts, engine);
    }
    return counts;
  }
}

function addCount(counts: EngineCount[], engine: EngineLoad): void {
  if (engine.ownCount > 0) {
    counts.push({ engine: engine.id, count: engine.ownCount });
  }
}
