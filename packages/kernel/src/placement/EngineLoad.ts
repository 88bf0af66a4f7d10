import type { Instant } from "../kernel/Plugin.js";

/** What this daemon knows about one engine: its entry in the view and its running requests. */
export interface EngineLoad {
  readonly id: number;
  readonly name: string;
  zone: string;
  weight: number;
  slots: number;
  isEligible: boolean;
  /** True while the engine is missing from the view but still counted. */
  isAbsent: boolean;
  /** Daemon that keeps the engine's count. */
  owner: string;
  /** True when this daemon is the owner. */
  isOwned: boolean;
  /** Hashes of the models that the engine serves. */
  modelIds: readonly number[];
  /** This daemon's running requests, including pending reservations. */
  ownCount: number;
  /** Sum of the running requests that other daemons report to this one. */
  reportedCount: number;
  /** Sum of the counts that other daemons claim for the engine as its owners. */
  claimedCount: number;
  /** This daemon's running requests as last reported to the owner, corrected by its answers. */
  lastReportedOwnCount: number;
  /** This daemon's running requests that the owner's last claim includes. */
  ownCountAtClaim: number;
  /** Lower bound of the count after a change of owner, valid until `inheritedUntil`. */
  inheritedCount: number;
  inheritedUntil: Instant;
}

/**
 * Creates an engine without running requests.
 * @param id - Hash of the engine's name.
 * @param name - Name of the engine.
 */
export function createEngineLoad(id: number, name: string): EngineLoad {
  return {
    id,
    name,
    zone: "",
    weight: 1,
    slots: 1,
    isEligible: false,
    isAbsent: false,
    owner: "",
    isOwned: false,
    modelIds: [],
    ownCount: 0,
    reportedCount: 0,
    claimedCount: 0,
    lastReportedOwnCount: 0,
    ownCountAtClaim: 0,
    inheritedCount: 0,
    inheritedUntil: 0,
  };
}

/**
 * Gets the running requests that this daemon counts for an engine as its owner: those that other
 * daemons report to it, and its own if it is the owner.
 * @param engine - Engine to count.
 */
export function getOwnerCount(engine: EngineLoad): number {
  return Math.max(0, engine.reportedCount + (engine.isOwned ? engine.ownCount : 0));
}

/**
 * Gets the running requests of an engine as known to this daemon.
 *
 * Daemons can disagree on the owner, but each reports a request to only one daemon. So the counts
 * that others claim are added to those reported to this daemon. A daemon that is not the owner also
 * adds the change of its own count since the last claim.
 * @param engine - Engine to count.
 * @param now - Current time.
 */
export function getCount(engine: EngineLoad, now: Instant): number {
  const others = engine.reportedCount + engine.claimedCount;
  const own = engine.isOwned ? engine.ownCount : engine.ownCount - engine.ownCountAtClaim;
  const count = Math.max(engine.ownCount, others + own);
  return now < engine.inheritedUntil ? Math.max(count, engine.inheritedCount) : count;
}
