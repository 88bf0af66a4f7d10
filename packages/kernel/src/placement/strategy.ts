/** The parts of the policy that can be switched; the earlier versions stay runnable by name. */
export interface PlacementStrategy {
  /** Whether a placement is reserved at the daemon that keeps the engine's count. */
  readonly reserves: boolean;
  /** Whether owners spread the counts of their engines to other daemons. */
  readonly digests: boolean;
  /** Whether requests with nothing to reuse go to the least loaded candidates. */
  readonly levels: boolean;
  /** Whether chats that live away from their first choice are remembered. */
  readonly remembers: boolean;
  /** Whether a placement far below the limit by late counts is made without asking the owner. */
  readonly trustsLowCounts: boolean;
  /** Engines that may join without the bound being broken. */
  readonly joiningEngines: number;
  /** Fall of the running requests that the limit allows for, in square roots of their number. */
  readonly fallFactor: number;
  /** Number of rendezvous candidates among which the least loaded is sought. */
  readonly candidates: number;
}

/** Names of the versions of the policy. */
export type PlacementStrategyName = "local-share" | "digest" | "owner" | "ours";

/** Every version of the policy by name. */
export const placementStrategies: Readonly<Record<PlacementStrategyName, PlacementStrategy>> = {
  "local-share": {
    reserves: false,
    digests: false,
    levels: false,
    remembers: false,
    trustsLowCounts: false,
    joiningEngines: 0,
    fallFactor: 0,
    candidates: 4,
  },
  digest: {
    reserves: false,
    digests: true,
    levels: false,
    remembers: false,
    trustsLowCounts: false,
    joiningEngines: 1,
    fallFactor: 0.3,
    candidates: 4,
  },
  owner: {
    reserves: true,
    digests: true,
    levels: false,
    remembers: false,
    trustsLowCounts: false,
    joiningEngines: 1,
    fallFactor: 0.3,
    candidates: 4,
  },
  ours: {
    reserves: true,
    digests: true,
    levels: true,
    remembers: true,
    trustsLowCounts: true,
    joiningEngines: 1,
    fallFactor: 0.3,
    candidates: 4,
  },
};
