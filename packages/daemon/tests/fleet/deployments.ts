import { uniformFloat64 } from "pure-rand/distribution/uniformFloat64";
import { xoroshiro128plus } from "pure-rand/generator/xoroshiro128plus";

/** Size of a simulated fleet, and the seeds that it is played with. */
export interface FleetDeployment {
  readonly daemons: number;
  readonly zones: number;
  /** Time after a cause from which a bound on the whole fleet holds. */
  readonly stableWindowMilliseconds: number;
  readonly seeds: readonly number[];
}

/** A few daemons, as at most sites. */
export const smallFleet: FleetDeployment = {
  daemons: 5,
  zones: 4,
  stableWindowMilliseconds: 3_000,
  seeds: [1, 2, 3, 4, 5, 6, 7, 8],
};

/** The largest fleet in use. */
export const largeFleet: FleetDeployment = {
  daemons: 79,
  zones: 6,
  stableWindowMilliseconds: 5_000,
  seeds: [1, 2],
};

/** Creates a source of random numbers in [0, 1) from a seed. */
export function createRandom(seed: number): () => number {
  const generator = xoroshiro128plus(seed);
  return () => uniformFloat64(generator);
}
