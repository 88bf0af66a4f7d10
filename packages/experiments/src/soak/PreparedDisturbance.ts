import type { Random } from "../bench/Random.js";
import type { Installation } from "./Installation.js";

/** The installation to disturb, and the random source of the run. */
export interface DisturbanceContext {
  readonly installation: Installation;
  readonly random: Random;
}

/** A disturbance with its target, ready to run. */
export interface PreparedDisturbance {
  readonly target: string;
  /** Runs the disturbance, and resolves when it is over and its target works again. */
  readonly run: () => Promise<void>;
}
