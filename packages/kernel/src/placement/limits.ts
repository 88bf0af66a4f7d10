import type { Instant } from "../kernel/Plugin.js";
import { getMeanLoad, type EngineGroup } from "./EngineGroup.js";
import type { EngineLoad } from "./EngineLoad.js";
import type { PlacementStrategy } from "./strategy.js";

/**
 * Gets the most running requests that a placement may lead to on an engine.
 *
 * The mean falls while an engine's load stays: when another engine joins, and as requests end. So
 * the limit keeps the bound for one engine more and for some requests less.
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
  const level = Math.max(1, Math.ceil(engine.weight * mean));
  return Math.max(level, Math.floor(engine.weight * bound * lowMean));
}

/**
 * Gets the most running requests that a placement of a request with nothing to reuse may lead to.
 * @param engine - Engine to place on.
 * @param group - Engines that serve the model.
 * @param now - Current time.
 */
export function getMeanLimit(engine: EngineLoad, group: EngineGroup, now: Instant): number {
  return Math.max(1, Math.ceil(engine.weight * getMeanLoad(group, now)));
}
