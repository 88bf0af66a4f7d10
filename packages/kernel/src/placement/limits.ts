import type { Instant } from "../kernel/Plugin.js";
import { getMeanLoad, type EngineGroup } from "./EngineGroup.js";
import type { EngineLoad } from "./EngineLoad.js";
import type { PlacementStrategy } from "./strategy.js";

/**
 * Gets the maximum number of running requests on an engine after a placement, by the load bound.
 *
 * The mean can fall while an engine's load stays the same: when an engine joins, or as requests end
 * elsewhere. So the limit leaves a margin for `joiningEngineCount` more engines and, by
 * `loadDropFactor`, for fewer requests.
 * @param engine - Engine to place on.
 * @param group - Engines that serve the model.
 * @param bound - Largest load of an engine as a multiple of the mean.
 * @param strategy - Version of the policy.
 * @param now - Current time.
 */
export function getBoundLimit(
  engine: EngineLoad,
  group: EngineGroup,
  bound: number,
  strategy: PlacementStrategy,
  now: Instant,
): number {
  const mean = getMeanLoad(group, now);
  const total = mean * group.weight;
  const lowTotal = Math.max(0, total - strategy.loadDropFactor * Math.sqrt(total));
  const count = group.engines.length;
  const lowMean = (lowTotal / group.weight) * (count / (count + strategy.joiningEngineCount));
  const meanLimit = Math.max(1, Math.ceil(engine.weight * mean));
  return Math.max(meanLimit, Math.floor(engine.weight * bound * lowMean));
}

/**
 * Gets the maximum number of running requests on an engine after a placement, by the mean load. It
 * applies to requests that gain little or nothing from a cached prefix.
 * @param engine - Engine to place on.
 * @param group - Engines that serve the model.
 * @param now - Current time.
 */
export function getMeanLimit(engine: EngineLoad, group: EngineGroup, now: Instant): number {
  return Math.max(1, Math.ceil(engine.weight * getMeanLoad(group, now)));
}
