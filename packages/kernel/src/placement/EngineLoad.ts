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
  own: number;
  /** Sum of the running requests that other daemons report to this one. */
  reported: number;
  /** Sum of the counts that other daemons keep of the engine as its owners. */
  claimed: number;
  /** This daemon's running requests as its owner was told last. */
  ownTold: number;
  /** This daemon's running requests that the newest claim counts. */
  ownAtClaim: number;
  /** Count taken over from an earlier owner, valid until `inheritedUntil`. */
  inherited: number;
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
    own: 0,
    reported: 0,
    claimed: 0,
    ownTold: 0,
    ownAtClaim: 0,
    inherited: 0,
    inheritedUntil: 0,
  };
}

/**
 * Gets the running requests of an engine that are counted by this daemon and by no other: its own
 * when it is the owner, and those that others report to it.
 * @param engine - Engine to count.
 */
export function getAssignedCount(engine: EngineLoad): number {
  return Math.max(0, engine.reported + (engine.isOwned ? engine.own : 0));
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
  const others = engine.reported + engine.claimed;
  const own = engine.isOwned ? engine.own : engine.own - engine.ownAtClaim;
  const count = Math.max(engine.own, others + own);
  return now < engine.inheritedUntil ? Math.max(count, engine.inherited) : count;
}
