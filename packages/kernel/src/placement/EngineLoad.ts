import type { Instant } from "../kernel/Plugin.js";

/** What this daemon knows of one engine: its place in the view and its running requests. */
export interface EngineLoad {
  readonly id: number;
  readonly name: string;
  zone: string;
  weight: number;
  slots: number;
  isEligible: boolean;
  /** True while the engine is counted although the list lacks it. */
  isAbsent: boolean;
  /** Daemon that keeps the engine's count. */
  owner: string;
  /** True when that is this daemon. */
  isOwned: boolean;
  /** Hashes of the models that the engine serves. */
  modelIds: readonly number[];
  /** This daemon's running requests, reservations under way included. */
  ownCount: number;
  /** Sum of the running requests that other daemons report to this one. */
  reportedCount: number;
  /** Sum of the counts that other daemons keep of the engine as its owners. */
  claimedCount: number;
  /** This daemon's running requests as its owner was told last. */
  lastReportedOwnCount: number;
  /** This daemon's running requests that the newest claim counts. */
  ownCountAtClaim: number;
  /** Count taken over from an earlier owner, valid until `inheritedUntil`. */
  inheritedCount: number;
  inheritedUntil: Instant;
}

/**
 * Creates an engine without any running request.
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
 * Gets the running requests of an engine that are counted by this daemon and by no other: its own
 * when it is the owner, and those that others report to it.
 * @param engine - Engine to count.
 */
export function getOwnerCount(engine: EngineLoad): number {
  return Math.max(0, engine.reportedCount + (engine.isOwned ? engine.ownCount : 0));
}

/**
 * Gets the running requests of an engine as far as this daemon knows.
 *
 * Daemons that disagree on the owner report each request to one of them, so the claims of others
 * are added to what is reported here. A daemon that is not the owner adds its own changes since the
 * newest claim.
 * @param engine - Engine to count.
 * @param now - Current time.
 */
export function getCount(engine: EngineLoad, now: Instant): number {
  const others = engine.reportedCount + engine.claimedCount;
  const own = engine.isOwned ? engine.ownCount : engine.ownCount - engine.ownCountAtClaim;
  const count = Math.max(engine.ownCount, others + own);
  return now < engine.inheritedUntil ? Math.max(count, engine.inheritedCount) : count;
}
