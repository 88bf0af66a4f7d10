import type { Instant } from "../kernel/Plugin.js";
import { getMean, type EngineGroup } from "./EngineGroup.js";
import type { EngineLoad } from "./EngineLoad.js";
import type { PlacementStrategy } from "./strategy.js";

/**
 * Gets the most running requests that a placement may lead to on an engine.
 *
 * The mean falls as requests end, so a placement uses only a share of the room below the bound.
 * @param engine - Engine to place on.
 * @param group - Engines that serve the model.
 * @param bound - Largest load of an engine as a multiple of the mean.
 * @param strategy - Version of the policy.
 * @param now - Current time.
 */
export function getLimit(
  engine: EngineLoad,
  group: EngineGroup,
  bound: number,
  strategy: PlacementStrategy,
  now: Instant,
): number {
  const fair = engine.weight * getMean(group, now);
  const room = fair * (bound - 1) * strategy.roomShare;
  return Math.max(getLevelLimit(engine, group, now), Math.floor(fair + room));
}

/**
 * Gets the most running requests that a placement of a request with nothing to reuse may lead to.
 * @param engine - Engine to place on.
 * @param group - Engines that serve the model.
 * @param now - Current time.
 */
export function getLevelLimit(engine: EngineLoad, group: EngineGroup, now: Instant): number {
  return Math.max(1, Math.ceil(engine.weight * getMean(group, now)));
}
