/** Parameters of the placement policy. Earlier versions of the policy stay selectable by name. */
export interface PlacementStrategy {
  /** Whether a placement is reserved at the engine's owner. */
  readonly reservesAtOwner: boolean;
  /** Whether owners send the counts of their engines to the other daemons. */
  readonly sendsGossip: boolean;
  /**
   * Whether requests that gain little from a cached prefix go to the least loaded candidates, with
   * the mean load as the limit.
   */
  readonly usesMeanLimit: boolean;
  /** Whether the engines of chats that moved off their first candidate are remembered. */
  readonly remembersMovedChats: boolean;
  /** Whether the owner is not asked when outdated counts are far enough below the limit. */
  readonly skipsSafeReservations: boolean;
  /** Number of engines that can join without an engine exceeding the load bound. */
  readonly joiningEngineCount: number;
  /** Drop in running requests that the limit allows for, as a multiple of their square root. */
  readonly loadDropFactor: number;
  /** Number of rendezvous candidates among which the least loaded is selected. */
  readonly candidateCount: number;
}

/** Names of the versions of the placement policy. */
export type PlacementStrategyName = "local-share" | "digest" | "owner" | "ours";

/** Every version of the placement policy by name. */
export const placementStrategies: Readonly<Record<PlacementStrategyName, PlacementStrategy>> = {
  "local-share": {
    reservesAtOwner: false,
    sendsGossip: false,
    usesMeanLimit: false,
    remembersMovedChats: false,
    skipsSafeReservations: false,
    joiningEngineCount: 0,
    loadDropFactor: 0,
    candidateCount: 4,
  },
  digest: {
    reservesAtOwner: false,
    sendsGossip: true,
    usesMeanLimit: false,
    remembersMovedChats: false,
    skipsSafeReservations: false,
    joiningEngineCount: 1,
    loadDropFactor: 0.3,
    candidateCount: 4,
  },
  owner: {
    reservesAtOwner: true,
    sendsGossip: true,
    usesMeanLimit: false,
    remembersMovedChats: false,
    skipsSafeReservations: false,
    joiningEngineCount: 1,
    loadDropFactor: 0.3,
    candidateCount: 4,
  },
  ours: {
    reservesAtOwner: true,
    sendsGossip: true,
    usesMeanLimit: true,
    remembersMovedChats: true,
    skipsSafeReservations: true,
    joiningEngineCount: 1,
    loadDropFactor: 0.3,
    candidateCount: 4,
  },
};
