import type { Instant } from "../kernel/Plugin.js";
import type { PlacementContext } from "./context.js";
import { getCandidates, getMeanLoad, type EngineGroup } from "./EngineGroup.js";
import { getCount, type EngineLoad } from "./EngineLoad.js";
import { getHash } from "../hashing/index.js";
import { getBoundLimit } from "./limits.js";
import type { ExplainedCandidate, ExplainedEffect, ExplainMessage } from "./messages.js";

/**
 * Explains where a chat would be placed, without changing any state.
 * @param message - Chat and model.
 * @param context - Shared state of the daemon's placement.
 * @param now - Current time.
 */
export function explainPlacement(
  message: ExplainMessage,
  context: PlacementContext,
  now: Instant,
): ExplainedEffect {
  const { chat, model } = message;
  const group = context.loadCounts.groupsById.get(getHash(model));
  if (group === undefined) {
    return { kind: "explained", chat, model, mean: 0, candidates: [], choice: null };
  }
  const ranked = getRankedEngines(group, getHash(chat), context);
  const cachedEngineId = context.chatDirectory.getEngine(getHash(chat), now);
  const choice =
    ranked.find(
      (engine) => engine.id === cachedEngineId && hasCapacity(engine, group, context, now),
    ) ?? ranked.find((engine) => hasCapacity(engine, group, context, now));
  return {
    kind: "explained",
    chat,
    model,
    mean: getMeanLoad(group, now),
    candidates: ranked.map((engine, index) => ({
      ...describeEngine(engine, group, context, now),
      rank: index + 1,
      ...(engine === choice ? { reason: "choice" } : {}),
    })),
    choice: choice?.name ?? null,
  };
}

/** Gets the engines of a group in rendezvous order for a chat, ineligible ones last. */
function getRankedEngines(
  group: EngineGroup,
  chat: number,
  { loadCounts }: PlacementContext,
): EngineLoad[] {
  const ineligible = [...loadCounts.enginesById.values()].filter(
    (engine) => !engine.isEligible && engine.owner !== "" && engine.modelIds.includes(group.id),
  );
  return [
    ...getCandidates(group.engines, chat, group.engines.length),
    ...getCandidates(ineligible, chat, ineligible.length),
  ];
}

function describeEngine(
  engine: EngineLoad,
  group: EngineGroup,
  context: PlacementContext,
  now: Instant,
): Omit<ExplainedCandidate, "rank"> {
  const reason = hasCapacity(engine, group, context, now) ? "eligible" : "above-limit";
  return {
    engine: engine.name,
    zone: engine.zone,
    load: getCount(engine, now),
    limit: getBoundLimit(engine, group, context.bound, context.strategy, now),
    eligible: engine.isEligible,
    owner: engine.owner,
    reason: engine.isEligible ? reason : "not-eligible",
  };
}

function hasCapacity(
  engine: EngineLoad,
  group: EngineGroup,
  { bound, strategy }: PlacementContext,
  now: Instant,
): boolean {
  const limit = getBoundLimit(engine, group, bound, strategy, now);
  return engine.isEligible && getCount(engine, now) + 1 <= limit;
}
