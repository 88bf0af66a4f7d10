import type { Instant } from "../kernel/Plugin.js";
import type { EngineLoad } from "./EngineLoad.js";
import type { LoadTable } from "./LoadTable.js";
import type { EngineCount, ModelCount, PlacementPeerMessage } from "./peerMessage.js";

interface PeerRecord {
  sequence: number;
  lastReceivedAt: Instant;
  counts: readonly EngineCount[];
  totals: readonly ModelCount[];
  claims: readonly EngineCount[];
}

/** Keeps the last counts reported by each peer, and their sums in the table. */
export class PeerCounts {
  private readonly peersByName = new Map<string, PeerRecord>();

  private constructor(private readonly table: LoadTable) {}

  /**
   * Creates counts without peers.
   * @param table - Table to keep the sums in.
   */
  static create(table: LoadTable): PeerCounts {
    return new PeerCounts(table);
  }

  /**
   * Gets when the newest message of a peer was received.
   * @param peer - Name of the peer.
   */
  getLastReceivedAt(peer: string): Instant | undefined {
    return this.peersByName.get(peer)?.lastReceivedAt;
  }

  /**
   * Stores the counts of a peer's message, unless a newer message was received before.
   * @param peer - Name of the peer.
   * @param message - Message of the peer.
   * @param now - Current time.
   */
  setPeerCounts(peer: string, message: PlacementPeerMessage, now: Instant): void {
    const record = this.getPeer(peer, message, now);
    if (record === undefined) {
      return;
    }
    record.sequence = message.sequence;
    record.lastReceivedAt = now;
    this.setTotals(record, message.totals);
    if (message.counts !== null) {
      this.setReported(record, message.counts);
    }
    if (message.claims !== null) {
      this.setClaims(record, message.claims);
    }
  }

  /**
   * Corrects one count that a peer reported.
   * @param peer - Name of the peer.
   * @param engine - Engine to change the count of.
   * @param change - Number of requests to add.
   */
  addReportedCount(peer: string, engine: EngineLoad, change: number): void {
    const record = this.peersByName.get(peer);
    const before = record?.counts.find((entry) => entry.engine === engine.id)?.count ?? 0;
    if (record === undefined || before + change < 0) {
      return;
    }
    const others = record.counts.filter((entry) => entry.engine !== engine.id);
    record.counts = [...others, { engine: engine.id, count: before + change }];
    engine.reportedCount += change;
  }

  /**
   * Stores the count of one engine from its owner's answer.
   * @param peer - Name of the owner.
   * @param engine - Engine to change the count of.
   * @param count - Running requests on the engine.
   */
  setClaim(peer: string, engine: EngineLoad, count: number): void {
    const record = this.peersByName.get(peer);
    if (record === undefined) {
      return;
    }
    const before = record.claims.find((entry) => entry.engine === engine.id)?.count ?? 0;
    const others = record.claims.filter((entry) => entry.engine !== engine.id);
    record.claims = [...others, { engine: engine.id, count }];
    engine.claimedCount += count - before;
    engine.ownCountAtClaim = engine.lastReportedOwnCount;
  }

  /**
   * Removes all counts of a peer.
   * @param peer - Name of the peer.
   */
  removePeer(peer: string): void {
    const record = this.peersByName.get(peer);
    if (record === undefined) {
      return;
    }
    this.setReported(record, []);
    this.setTotals(record, []);
    this.setClaims(record, []);
    this.peersByName.delete(peer);
  }

  /**
   * Removes the peers whose newest message is too old.
   * @param receivedSince - Oldest instant of a newest message to keep a peer.
   */
  removeUnresponsivePeers(receivedSince: Instant): void {
    for (const [name, record] of this.peersByName) {
      if (record.lastReceivedAt < receivedSince) {
        this.removePeer(name);
      }
    }
  }

  private getPeer(
    peer: string,
    message: PlacementPeerMessage,
    now: Instant,
  ): PeerRecord | undefined {
    const record = this.peersByName.get(peer);
    if (record !== undefined) {
      return ((message.sequence - record.sequence) | 0) > 0 ? record : undefined;
    }
    const created = { sequence: 0, lastReceivedAt: now, counts: [], totals: [], claims: [] };
    this.peersByName.set(peer, created);
    return created;
  }

  private setReported(record: PeerRecord, counts: readonly EngineCount[]): void {
    for (const entry of record.counts) {
      this.table.getEngine(entry.engine).reportedCount -= entry.count;
    }
    for (const entry of counts) {
      this.table.getEngine(entry.engine).reportedCount += entry.count;
    }
    record.counts = counts;
  }

  private setClaims(record: PeerRecord, claims: readonly EngineCount[]): void {
    for (const entry of record.claims) {
      this.table.getEngine(entry.engine).claimedCount -= entry.count;
    }
    for (const entry of claims) {
      const engine = this.table.getEngine(entry.engine);
      engine.claimedCount += entry.count;
      engine.ownCountAtClaim = engine.lastReportedOwnCount;
    }
    record.claims = claims;
  }

  private setTotals(record: PeerRecord, totals: readonly ModelCount[]): void {
    for (const entry of record.totals) {
      this.table.getGroup(entry.model).reportedCount -= entry.count;
    }
    for (const entry of totals) {
      this.table.getGroup(entry.model).reportedCount += entry.count;
    }
    record.totals = totals;
  }
}
