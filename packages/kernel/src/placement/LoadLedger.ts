import type { Instant } from "../kernel/Plugin.js";
import { createEngineGroup, type EngineGroup } from "./EngineGroup.js";
import { createEngineLoad, getAssignedCount, getCount, type EngineLoad } from "./EngineLoad.js";
import { getHash } from "./hash.js";
import type { PlacementDaemon, PlacementEngine } from "./messages.js";
import { OwnerChoice } from "./OwnerChoice.js";
import type { EngineCount, ModelCount, PlacementPeerMessage } from "./peerMessage.js";

interface PeerRecord {
  sequence: number;
  heardAt: Instant;
  counts: readonly EngineCount[];
  totals: readonly ModelCount[];
  claims: readonly EngineCount[];
}

/** The fleet as the ledger needs it. */
export interface LedgerFleet {
  /** The live daemons, this one included. */
  readonly daemons: readonly PlacementDaemon[];
  readonly engines: readonly PlacementEngine[];
  /** Names of engines that are counted although the list lacks them. */
  readonly absentEngines: readonly string[];
}

interface CountBefore {
  readonly engine: number;
  readonly owner: string;
  readonly count: number;
}

const inheritedMilliseconds = 400;
/** From this many engines of a model in the daemon's own zone on, only these are used. */
const zoneScopeMinimumEngines = 32;

/** Counts running requests by engine and model from this daemon's own and its peers' reports. */
export class LoadLedger {
  readonly enginesById = new Map<number, EngineLoad>();
  readonly groupsById = new Map<number, EngineGroup>();
  private enginesByOwner = new Map<string, EngineLoad[]>();
  private readonly peersByName = new Map<string, PeerRecord>();

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

  /**
   * Gets when a peer's newest message arrived.
   * @param peer - Name of the peer.
   */
  getHeardAt(peer: string): Instant | undefined {
    return this.peersByName.get(peer)?.heardAt;
  }

  /** Gets the engines that this daemon owns. */
  getOwnedEngines(): readonly EngineLoad[] {
    return this.getEnginesOf(this.daemon);
  }

  /**
   * Gets the engines that a daemon owns, as far as this one knows.
   * @param owner - Name of the daemon.
   */
  getEnginesOf(owner: string): readonly EngineLoad[] {
    return this.enginesByOwner.get(owner) ?? [];
  }

  /**
   * Takes over the engines and their owners.
   * @param fleet - The live daemons and the engines.
   * @param now - Current time.
   */
  setFleet(fleet: LedgerFleet, now: Instant): void {
    const before = this.getCounts(now);
    this.updateEngines(fleet);
    this.updateGroups(fleet.engines);
    this.inheritCounts(before, now);
    this.enginesByOwner = getEnginesByOwner(this.enginesById.values());
  }

  /**
   * Gets the counts that other daemons are told: of the engines that this daemon owns, and of those
   * that some other daemon believes it owns.
   */
  getClaims(): EngineCount[] {
    return [...this.enginesById.values()]
      .filter((engine) => engine.isOwned || engine.reported > 0)
      .map((engine) => ({ engine: engine.id, count: getAssignedCount(engine) }));
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
    const before = record.claims.find((entry) => entry.engine === engine.id)?.count ?? 0;
    const others = record.claims.filter((entry) => entry.engine !== engine.id);
    record.claims = [...others, { engine: engine.id, count }];
    engine.claimed += count - before;
    engine.ownAtClaim = engine.ownTold;
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
      engine.ownAtClaim = engine.ownTold;
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

  private getCounts(now: Instant): CountBefore[] {
    return [...this.enginesById.values()].map((engine) => ({
      engine: engine.id,
      owner: engine.owner,
      count: getCount(engine, now),
    }));
  }

  private inheritCounts(before: readonly CountBefore[], now: Instant): void {
    for (const { engine: id, owner, count } of before) {
      const engine = this.getEngine(id);
      if (engine.owner !== owner && owner !== "") {
        engine.inherited = count;
        engine.inheritedUntil = now + inheritedMilliseconds;
      }
    }
  }

  private updateEngines({ daemons, engines, absentEngines }: LedgerFleet): void {
    for (const engine of this.enginesById.values()) {
      engine.isEligible = false;
      engine.owner = "";
      engine.isOwned = false;
      engine.groups = [];
    }
    const owners = OwnerChoice.create(daemons);
    for (const entry of engines) {
      const engine = this.getNamedEngine(getHash(entry.name), entry.name);
      engine.zone = entry.zone;
      engine.weight = entry.weight;
      engine.slots = entry.slots;
      engine.modelIds = entry.models.map(getHash);
      engine.isEligible = entry.eligible;
      engine.isAbsent = absentEngines.includes(entry.name);
      engine.owner = this.sharesOwners ? owners.getOwner(engine) : this.daemon;
      engine.isOwned = engine.owner === this.daemon;
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

  private updateGroups(engines: readonly PlacementEngine[]): void {
    for (const group of this.groupsById.values()) {
      group.engines = [];
      group.leaving = [];
      group.weight = 0;
      group.own = 0;
    }
    const models = new Set(engines.flatMap((entry) => entry.models));
    for (const model of models) {
      this.fillGroup(this.getGroup(getHash(model)), this.getScope(engines, model));
    }
  }

  /** Gets the engines of a model: the zone's when they are many, else the region's, else all. */
  private getScope(engines: readonly PlacementEngine[], model: string): PlacementEngine[] {
    const serving = engines.filter((entry) => entry.models.includes(model));
    const inZone = serving.filter((entry) => entry.zone === this.zone);
    if (getEligibleCount(inZone) >= zoneScopeMinimumEngines) {
      return inZone;
    }
    const region = engines.find((entry) => entry.zone === this.zone)?.region;
    const inRegion = serving.filter((entry) => region === undefined || entry.region === region);
    return getEligibleCount(inRegion) > 0 ? inRegion : serving;
  }

  private fillGroup(group: EngineGroup, entries: readonly PlacementEngine[]): void {
    const members = entries.map((entry) => this.getEngine(getHash(entry.name)));
    group.engines = members.filter((engine) => engine.isEligible);
    group.leaving = members.filter((engine) => !engine.isEligible && !engine.isAbsent);
    for (const engine of members) {
      engine.groups = [...engine.groups, group];
      group.weight += engine.isEligible || engine.isAbsent ? engine.weight : 0;
      group.own += engine.own;
    }
  }
}

function getEligibleCount(entries: readonly PlacementEngine[]): number {
  return entries.filter((entry) => entry.eligible).length;
}

function getEnginesByOwner(engines: Iterable<EngineLoad>): Map<string, EngineLoad[]> {
  const enginesByOwner = new Map<string, EngineLoad[]>();
  for (const engine of engines) {
    const owned = enginesByOwner.get(engine.owner) ?? [];
    owned.push(engine);
    enginesByOwner.set(engine.owner, owned);
  }
  return enginesByOwner;
}
