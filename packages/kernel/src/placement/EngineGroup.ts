import type { Instant } from "../kernel/Plugin.js";
import { getCount, type EngineLoad } from "./EngineLoad.js";
import { getRendezvousScore, mixHashes } from "../hashing/index.js";

/** The engines that serve one model, and their running requests. */
export interface EngineGroup {
  /** Hash of the model. */
  readonly id: number;
  /** All engines in scope that serve the model and are eligible. */
  engines: readonly EngineLoad[];
  /** Engines in scope that serve the model but accept no new requests. */
  leaving: readonly EngineLoad[];
  /** Total weight of the eligible engines and of those temporarily missing from the view. */
  weight: number;
  /** This daemon's running requests, including those on leaving engines. */
  ownCount: number;
  /** Sum of the running requests that other daemons report. */
  reportedCount: number;
}

/**
 * Creates a group without engines.
 * @param id - Hash of the model.
 */
export function createEngineGroup(id: number): EngineGroup {
  return { id, engines: [], leaving: [], weight: 0, ownCount: 0, reportedCount: 0 };
}

/**
 * Gets the mean number of running requests per unit of weight, without those on leaving engines.
 * @param group - Group to measure.
 * @param now - Current time.
 */
export function getMeanLoad(group: EngineGroup, now: Instant): number {
  let total = group.ownCount + group.reportedCount;
  for (const engine of group.leaving) {
    total -= getCount(engine, now);
  }
  return group.weight === 0 ? 0 : Math.max(0, total) / group.weight;
}

/**
 * Gets the first candidates of a chat in rendezvous order.
 * @param engines - Engines to order.
 * @param chat - Hash of the chat.
 * @param count - Maximum number of candidates to return.
 */
export function getCandidates(
  engines: readonly EngineLoad[],
  chat: number,
  count: number,
): EngineLoad[] {
  const candidates: EngineLoad[] = [];
  const scores: number[] = [];
  const { ids, weights } = getEngineArrays(engines);
  let leastScore = -1;
  for (let index = 0; index < ids.length; index += 1) {
    const id = ids[index] ?? 0;
    const score =
      weights === undefined
        ? mixHashes(chat, id)
        : getRendezvousScore(chat, id, weights[index] ?? 1);
    if (score > leastScore) {
      insertCandidate(candidates, scores, engines[index] as EngineLoad, score);
      candidates.length = Math.min(candidates.length, count);
      scores.length = candidates.length;
      leastScore = candidates.length < count ? -1 : (scores[count - 1] ?? -1);
    }
  }
  return candidates;
}

/** Ids and weights of a list of engines, as typed arrays for fast scoring. */
interface EngineArrays {
  readonly ids: Uint32Array;
  /** Undefined when all weights are equal. */
  readonly weights: Float64Array | undefined;
}

const arraysByEngines = new WeakMap<readonly EngineLoad[], EngineArrays>();

function getEngineArrays(engines: readonly EngineLoad[]): EngineArrays {
  const existing = arraysByEngines.get(engines);
  if (existing !== undefined) {
    return existing;
  }
  const hasEqualWeights = engines.every(({ weight }) => weight === engines[0]?.weight);
  const arrays = {
    ids: Uint32Array.from(engines, ({ id }) => id),
    weights: hasEqualWeights ? undefined : Float64Array.from(engines, ({ weight }) => weight),
  };
  arraysByEngines.set(engines, arrays);
  return arrays;
}

function insertCandidate(
  candidates: EngineLoad[],
  scores: number[],
  engine: EngineLoad,
  score: number,
): void {
  let index = candidates.length;
  while (index > 0 && score > (scores[index - 1] ?? -1)) {
    index -= 1;
  }
  candidates.splice(index, 0, engine);
  scores.splice(index, 0, score);
}
