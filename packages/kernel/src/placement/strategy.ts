/** The parts of the policy that can be switched; the earlier versions stay runnable by name. */
export interface PlacementStrategy {
  /** Whether a placement is reserved at the daemon that keeps the engine's count. */
  readonly reservesAtOwner: boolean;
  /** Whether owners spread the counts of their engines to other daemons. */
  readonly sendsGossip: boolean;
  /** Whether requests with nothing to reuse go to the least loaded candidates. */
  readonly usesMeanLimit: boolean;
  /** Whether chats that live away from their first choice are remembered. */
  readonly remembersMovedChats: boolean;
  /** Whether a placement far below the limit by late counts is made without asking the owner. */
  readonly skipsSafeReservations: boolean;
  /** Engines that may join without the bound being broken. */
  readonly joiningEngineCount: number;
  /** Fall of the running requests that the limit allows for, in square roots of their number. */
  readonly loadDropFactor: number;
  /** Number of rendezvous candidates among which the least loaded is sought. */
  readonly candidateCount: number;
}

/** Names of the versions of the policy. */
export type PlacementStrategyName = "local-share" | "digest" | "owner" | "ours";

/** Every version of the policy by name. */
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
