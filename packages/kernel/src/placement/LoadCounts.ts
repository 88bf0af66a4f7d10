import type { Instant } from "../kernel/Plugin.js";
import type { EngineGroup } from "./EngineGroup.js";
import { getOwnerCount, getCount, type EngineLoad } from "./EngineLoad.js";
import { getHash } from "../hashing/index.js";
import { LoadTable } from "./LoadTable.js";
import type { PlacementDaemon, PlacementEngine } from "./messages.js";
import { OwnerSelector } from "./OwnerSelector.js";
import { PeerCounts } from "./PeerCounts.js";
import type { EngineCount } from "./peerMessage.js";

/** The daemons and engines to count. */
export interface CountedFleet {
  /** The live daemons, this one included. */
  readonly daemons: readonly PlacementDaemon[];
  readonly engines: readonly PlacementEngine[];
  /** Names of engines that are missing from the view but still counted. */
  readonly absentEngines: readonly string[];
  /** Until when the count of an engine with a new owner stays at or above its previous value. */
  readonly inheritedUntil: Instant;
}

interface PreviousCount {
  readonly engine: number;
  readonly owner: string;
  readonly count: number;
}

/** With at least this many eligible engines of a model in the own zone, only these are used. */
const minZoneScopeEngines = 32;

/** Counts the running requests of this daemon and its peers by engine and by model. */
export class LoadCounts {
  private readonly table = LoadTable.create();
  /** Counts that the other daemons report. */
  readonly peers = PeerCounts.create(this.table);
  readonly enginesById: ReadonlyMap<number, EngineLoad> = this.table.enginesById;
  readonly groupsById: ReadonlyMap<number, EngineGroup> = this.table.groupsById;
  private readonly groupsByEngine = new Map<EngineLoad, EngineGroup[]>();
  private enginesByOwner = new Map<string, EngineLoad[]>();

  private constructor(
    private readonly daemon: string,
    private readonly zone: string,
    private readonly assignsOwners: boolean,
  ) {}

  /**
   * Creates counts without engines.
   * @param daemon - Name of the daemon that counts.
   * @param zone - Zone of the daemon.
   * @param assignsOwners - Whether each engine has one owner among the daemons. If false, every
   * daemon owns all engines.
   */
  static create(daemon: string, zone: string, assignsOwners: boolean): LoadCounts {
    return new LoadCounts(daemon, zone, assignsOwners);
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
    return this.getEnginesOf(this.daemon);
  }

  /**
   * Gets the engines that a daemon owns, as known to this daemon.
   * @param owner - Name of the daemon.
   */
  getEnginesOf(owner: string): readonly EngineLoad[] {
    return this.enginesByOwner.get(owner) ?? [];
  }

  /**
   * Gets the groups whose mean load includes an engine.
   * @param engine - Engine to look up.
   */
  getGroupsOf(engine: EngineLoad): readonly EngineGroup[] {
    return this.groupsByEngine.get(engine) ?? [];
  }

  /**
   * Sets the engines and assigns their owners.
   * @param fleet - The live daemons and the engines.
   * @param now - Current time.
   */
  setFleet(fleet: CountedFleet, now: Instant): void {
    const previousCounts = this.getCounts(now);
    this.updateEngines(fleet);
    this.updateGroups(fleet.engines);
    this.inheritCounts(previousCounts, fleet.inheritedUntil);
    this.enginesByOwner = getEnginesByOwner(this.enginesById.values());
  }

  /**
   * Gets the counts to announce to other daemons: of the engines that this daemon owns, and of
   * those that it owns in the view of some other daemon.
   */
  getClaims(): EngineCount[] {
    return [...this.enginesById.values()]
      .filter((engine) => engine.isOwned || engine.reportedCount > 0)
      .map((engine) => ({ engine: engine.id, count: getOwnerCount(engine) }));
  }

  /**
   * Changes the number of this daemon's own running requests on an engine.
   * @param engine - Engine that runs the requests.
   * @param change - Number of requests to add, negative to remove.
   */
  addOwnCount(engine: EngineLoad, change: number): void {
    engine.ownCount += change;
    for (const group of this.getGroupsOf(engine)) {
      group.ownCount += change;
    }
  }

  private getCounts(now: Instant): PreviousCount[] {
    return [...this.enginesById.values()].map((engine) => ({
      engine: engine.id,
      owner: engine.owner,
      count: getCount(engine, now),
    }));
  }

  private inheritCounts(previousCounts: readonly PreviousCount[], until: Instant): void {
    for (const { engine: id, owner, count } of previousCounts) {
      const engine = this.table.getEngine(id);
      if (engine.owner !== owner && owner !== "") {
        engine.inheritedCount = count;
        engine.inheritedUntil = until;
      }
    }
  }

  private updateEngines({ daemons, engines, absentEngines }: CountedFleet): void {
    for (const engine of this.enginesById.values()) {
      engine.isEligible = false;
      engine.owner = "";
      engine.isOwned = false;
    }
    this.groupsByEngine.clear();
    const ownerSelector = OwnerSelector.create(daemons);
    for (const entry of engines) {
      const engine = this.table.getNamedEngine(entry.name);
      engine.zone = entry.zone;
      engine.weight = entry.weight;
      engine.slots = entry.slots;
      engine.modelIds = entry.models.map(getHash);
      engine.isEligible = entry.eligible;
      engine.isAbsent = absentEngines.includes(entry.name);
      engine.owner = this.assignsOwners ? ownerSelector.getOwner(engine) : this.daemon;
      engine.isOwned = engine.owner === this.daemon;
    }
    this.removeUnusedEngines();
  }

  private removeUnusedEngines(): void {
    for (const engine of this.enginesById.values()) {
      const isUsed =
        engine.ownCount !== 0 || engine.reportedCount !== 0 || engine.claimedCount !== 0;
      if (engine.owner === "" && !isUsed) {
        this.table.enginesById.delete(engine.id);
      }
    }
  }

  private updateGroups(engines: readonly PlacementEngine[]): void {
    for (const group of this.groupsById.values()) {
      group.engines = [];
      group.leaving = [];
      group.weight = 0;
      group.ownCount = 0;
    }
    const models = new Set(engines.flatMap((entry) => entry.models));
    for (const model of models) {
      this.fillGroup(this.table.getGroup(getHash(model)), this.getScope(engines, model));
    }
  }

  /** Gets the engines of a model in the zone if there are enough, else in the region, else all. */
  private getScope(engines: readonly PlacementEngine[], model: string): PlacementEngine[] {
    const serving = engines.filter((entry) => entry.models.includes(model));
    const inZone = serving.filter((entry) => entry.zone === this.zone);
    if (getEligibleCount(inZone) >= minZoneScopeEngines) {
      return inZone;
    }
    const region = engines.find((entry) => entry.zone === this.zone)?.region;
    const inRegion = serving.filter((entry) => region === undefined || entry.region === region);
    return getEligibleCount(inRegion) > 0 ? inRegion : serving;
  }

  private fillGroup(group: EngineGroup, entries: readonly PlacementEngine[]): void {
    const members = entries.map((entry) => this.table.getEngine(getHash(entry.name)));
    group.engines = members.filter((engine) => engine.isEligible);
    group.leaving = members.filter((engine) => !engine.isEligible && !engine.isAbsent);
    for (const engine of members) {
      this.groupsByEngine.set(engine, [...this.getGroupsOf(engine), group]);
      group.weight += engine.isEligible || engine.isAbsent ? engine.weight : 0;
      group.ownCount += engine.ownCount;
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
