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
  /** When the counts first differed from those last reported to the peer. */
  changedAt: Instant;
  moves: ChatMove[];
}

const maxMovesPerMessage = 64;

/** Composes the messages to each peer, and batches changes that can be sent later. */
export class PeerMessageQueue {
  private readonly pendingByPeer = new Map<string, PendingChanges>();
  private sequence = 0;

  private constructor(private readonly loadCounts: LoadCounts) {}

  /**
   * Creates an empty queue.
   * @param loadCounts - Counts to report.
   */
  static create(loadCounts: LoadCounts): PeerMessageQueue {
    return new PeerMessageQueue(loadCounts);
  }

  /**
   * Marks the counts of a peer's engines as changed.
   * @param peer - Owner of the engines.
   * @param now - Current time.
   */
  addChange(peer: string, now: Instant): void {
    if (!this.pendingByPeer.has(peer)) {
      this.pendingByPeer.set(peer, { changedAt: now, moves: [] });
    }
  }

  /**
   * Adds a chat's new engine to the next message to a peer.
   * @param peer - Owner of the chat's first candidate.
   * @param move - The chat and its engine.
   * @param now - Current time.
   */
  addMove(peer: string, move: ChatMove, now: Instant): void {
    this.addChange(peer, now);
    this.pendingByPeer.get(peer)?.moves.push(move);
  }

  /**
   * Gets the peers whose first pending change was made at or before an instant.
   * @param changedUntil - The instant.
   */
  getChangedPeers(changedUntil: Instant): string[] {
    return [...this.pendingByPeer]
      .filter(([, pending]) => pending.changedAt <= changedUntil)
      .map(([peer]) => peer);
  }

  /**
   * Composes a message with a reservation.
   * @param to - Owner of the engine.
   * @param reservation - Reservation to send.
   * @param now - Current time.
   */
  composeReservation(to: string, reservation: Reservation, now: Instant): SendEffect {
    return this.compose(to, now, { reservations: [reservation] });
  }

  /**
   * Composes a message with an answer to a reservation.
   * @param to - Daemon that asked.
   * @param answer - Answer to send.
   * @param now - Current time.
   */
  composeAnswer(to: string, answer: ReservationAnswer, now: Instant): SendEffect {
    const message = { ...this.createMessage(now), answers: [answer] };
    return { kind: "send", to, message };
  }

  /**
   * Composes a message with the changed counts.
   * @param to - Owner of the engines.
   * @param now - Current time.
   */
  composeCounts(to: string, now: Instant): SendEffect {
    return this.compose(to, now, {});
  }

  /**
   * Composes a gossip message, with the counts of the engines that this daemon owns.
   * @param to - Daemon to send it to.
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
    const remaining = moves.splice(maxMovesPerMessage);
    if (remaining.length > 0) {
      this.pendingByPeer.set(to, { changedAt: now, moves: remaining });
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
