import type { Instant } from "../kernel/Plugin.js";
import { createEngineGroup, type EngineGroup } from "./EngineGroup.js";
import {
  createEngineLoad,
  getEstimatedCount,
  getOwnedCount,
  type EngineLoad,
} from "./EngineLoad.js";
import { getHash } from "./hash.js";
import type { PlacementDaemon, PlacementEngine, ViewMessage } from "./messages.js";
import { OwnerChoice } from "./OwnerChoice.js";
import type { EngineCount, ModelCount, PlacementPeerMessage } from "./peerMessage.js";

interface PeerRecord {
  sequence: number;
  heardAt: Instant;
  counts: readonly EngineCount[];
  totals: readonly ModelCount[];
  claims: readonly EngineCount[];
}

const inheritedMilliseconds = 300;
/** From this many engines of a model in the daemon's own zone on, only these are used. */
const zoneScopeMinimumEngines = 32;

/** Counts running requests by engine and model from this daemon's own and its peers' reports. */
export class LoadLedger {
  readonly enginesById = new Map<number, EngineLoad>();
  readonly groupsById = new Map<number, EngineGroup>();
  private readonly peersByName = new Map<string, PeerRecord>();
  private ownedEngines: EngineLoad[] = [];

  private constructor(
    private readonly daemon: string,
    private readonly zone: string,
    private readonly sharesOwners: boolean,
  ) {}

  /**
   * Creates an empty ledger.
   * @param daemon - Name of the daemon that keeps the ledger.
   * @param zone - Zone of the daemon.
   * @param sharesOwners - Whether each engine has one owner among the daemons; else every daemon
   * counts every engine by itself.
   */
  static create(daemon: string, zone: string, sharesOwners: boolean): LoadLedger {
    return new LoadLedger(daemon, zone, sharesOwners);
  }

  /**
   * Gets an engine by its name.
   * @param name - Name of the engine.
   */
  getEngineByName(name: string): EngineLoad | undefined {
    return this.enginesById.get(getHash(name));
  }

  /** Gets the engines that this daemon owns. */
  getOwnedEngines(): readonly EngineLoad[] {
    return this.ownedEngines;
  }

  /**
   * Gets when a peer's newest message arrived.
   * @param peer - Name of the peer.
   */
  getHeardAt(peer: string): Instant | undefined {
    return this.peersByName.get(peer)?.heardAt;
  }

  /**
   * Gets the running requests of an engine as far as this daemon knows.
   * @param engine - Engine to count.
   * @param now - Current time.
   */
  getCount(engine: EngineLoad, now: Instant): number {
    return engine.owner === this.daemon ? getOwnedCount(engine, now) : getEstimatedCount(engine);
  }

  /**
   * Replaces the view of daemons and engines.
   * @param view - New view.
   * @param now - Current time.
   */
  setView(view: ViewMessage, now: Instant): void {
    const countsBefore = this.getCounts(now);
    this.updateEngines(view);
    this.updateGroups(view.engines);
    this.removeAbsentPeers(view.daemons);
    this.inheritCounts(countsBefore, now);
    this.ownedEngines = [...this.enginesById.values()].filter(
      (engine) => engine.owner === this.daemon,
    );
  }

  /**
   * Adds to this daemon's own running requests on an engine.
   * @param engine - Engine that runs the requests.
   * @param change - Number of requests, negative when they end.
   */
  addOwn(engine: EngineLoad, change: number): void {
    engine.own += change;
    for (const group of engine.groups) {
      group.own += change;
    }
  }

  /**
   * Takes over the counts of a peer's message, unless a newer one was seen.
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
    record.heardAt = now;
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
   * @param engine - Engine that the count is of.
   * @param change - Number of requests to add.
   */
  addReported(peer: string, engine: EngineLoad, change: number): void {
    const record = this.peersByName.get(peer);
    const before = record?.counts.find((entry) => entry.engine === engine.id)?.count ?? 0;
    if (record === undefined || before + change < 0) {
      return;
    }
    const others = record.counts.filter((entry) => entry.engine !== engine.id);
    record.counts = [...others, { engine: engine.id, count: before + change }];
    engine.reported += change;
  }

  /**
   * Takes over the count of one engine from its owner's answer.
   * @param peer - Name of the owner.
   * @param engine - Engine that the count is of.
   * @param count - Running requests on the engine.
   */
  setClaim(peer: string, engine: EngineLoad, count: number): void {
    const record = this.peersByName.get(peer);
    if (record === undefined) {
      return;
    }
    const others = record.claims.filter((entry) => entry.engine !== engine.id);
    this.setClaims(record, [...others, { engine: engine.id, count }]);
  }

  /**
   * Forgets everything that a peer reported.
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
   * Forgets the peers that were not heard for too long.
   * @param heardBefore - Instant before which a peer's newest message is too old.
   */
  removeSilentPeers(heardBefore: Instant): void {
    for (const [name, record] of this.peersByName) {
      if (record.heardAt < heardBefore) {
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
    const created = { sequence: 0, heardAt: now, counts: [], totals: [], claims: [] };
    this.peersByName.set(peer, created);
    return created;
  }

  private setReported(record: PeerRecord, counts: readonly EngineCount[]): void {
    for (const entry of record.counts) {
      this.getEngine(entry.engine).reported -= entry.count;
    }
    for (const entry of counts) {
      this.getEngine(entry.engine).reported += entry.count;
    }
    record.counts = counts;
  }

  private setClaims(record: PeerRecord, claims: readonly EngineCount[]): void {
    for (const entry of record.claims) {
      this.getEngine(entry.engine).claimed -= entry.count;
    }
    for (const entry of claims) {
      const engine = this.getEngine(entry.engine);
      engine.claimed += entry.count;
      engine.ownAtClaim = engine.own;
    }
    record.claims = claims;
  }

  private setTotals(record: PeerRecord, totals: readonly ModelCount[]): void {
    for (const entry of record.totals) {
      this.getGroup(entry.model).reported -= entry.count;
    }
    for (const entry of totals) {
      this.getGroup(entry.model).reported += entry.count;
    }
    record.totals = totals;
  }

  private getEngine(id: number, name = ""): EngineLoad {
    const known = this.enginesById.get(id);
    if (known !== undefined) {
      return known;
    }
    const engine = createEngineLoad(id, name);
    this.enginesById.set(id, engine);
    return engine;
  }

  private getGroup(id: number): EngineGroup {
    const known = this.groupsById.get(id);
    if (known !== undefined) {
      return known;
    }
    const group = createEngineGroup(id);
    this.groupsById.set(id, group);
    return group;
  }

  private getCounts(now: Instant): Map<number, number> {
    const counts = new Map<number, number>();
    for (const engine of this.enginesById.values()) {
      counts.set(engine.id, engine.owner === this.daemon ? -1 : this.getCount(engine, now));
    }
    return counts;
  }

  private inheritCounts(countsBefore: ReadonlyMap<number, number>, now: Instant): void {
    for (const [id, count] of countsBefore) {
      const engine = this.getEngine(id);
      if (engine.owner === this.daemon && count >= 0) {
        engine.inherited = count;
        engine.inheritedUntil = now + inheritedMilliseconds;
      }
    }
  }

  private updateEngines(view: ViewMessage): void {
    for (const engine of this.enginesById.values()) {
      engine.isEligible = false;
      engine.owner = "";
      engine.groups = [];
    }
    const owners = OwnerChoice.create(view.daemons);
    for (const entry of view.engines) {
      const id = getHash(entry.name);
      const engine = this.getNamedEngine(id, entry.name);
      engine.zone = entry.zone;
      engine.weight = entry.weight;
      engine.slots = entry.slots;
      engine.modelIds = entry.models.map(getHash);
      engine.isEligible = entry.eligible;
      engine.owner = this.sharesOwners ? owners.getOwner(engine) : this.daemon;
    }
    this.removeUnusedEngines();
  }

  private getNamedEngine(id: number, name: string): EngineLoad {
    const known = this.enginesById.get(id);
    if (known !== undefined && known.name === name) {
      return known;
    }
    const engine = { ...(known ?? createEngineLoad(id, name)), name };
    this.enginesById.set(id, engine);
    return engine;
  }

  private removeUnusedEngines(): void {
    for (const engine of this.enginesById.values()) {
      const isUsed = engine.own !== 0 || engine.reported !== 0 || engine.claimed !== 0;
      if (engine.owner === "" && !isUsed) {
        this.enginesById.delete(engine.id);
      }
    }
  }

  private updateGroups(entries: readonly PlacementEngine[]): void {
    for (const group of this.groupsById.values()) {
      group.engines = [];
      group.weight = 0;
      group.own = 0;
    }
    const models = new Set(entries.flatMap((entry) => entry.models));
    for (const model of models) {
      this.fillGroup(this.getGroup(getHash(model)), this.getScope(entries, model));
    }
  }

  /** Gets the eligible engines of a model: the zone's when they are many, else the region's, else all. */
  private getScope(entries: readonly PlacementEngine[], model: string): PlacementEngine[] {
    const serving = entries.filter((entry) => entry.eligible && entry.models.includes(model));
    const inZone = serving.filter((entry) => entry.zone === this.zone);
    if (inZone.length >= zoneScopeMinimumEngines) {
      return inZone;
    }
    const region = entries.find((entry) => entry.zone === this.zone)?.region;
    const inRegion = serving.filter((entry) => region === undefined || entry.region === region);
    return inRegion.length > 0 ? inRegion : serving;
  }

  private fillGroup(group: EngineGroup, entries: readonly PlacementEngine[]): void {
    group.engines = entries.map((entry) => this.getEngine(getHash(entry.name)));
    for (const engine of group.engines) {
      engine.groups = [...engine.groups, group];
      group.weight += engine.weight;
      group.own += engine.own;
    }
  }

  private removeAbsentPeers(daemons: readonly PlacementDaemon[]): void {
    const names = new Set(daemons.map((daemon) => daemon.name));
    for (const name of this.peersByName.keys()) {
      if (!names.has(name)) {
        this.removePeer(name);
      }
    }
  }
}
