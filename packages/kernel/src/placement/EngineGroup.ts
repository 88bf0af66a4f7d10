import type { Instant } from "../kernel/Plugin.js";
import { getCount, type EngineLoad } from "./EngineLoad.js";
import { getRendezvousScore } from "./hash.js";

/** The engines that serve one model, and the running requests on them. */
export interface EngineGroup {
  /** Hash of the model. */
  readonly id: number;
  /** All engines in scope that serve the model and are eligible. */
  engines: readonly EngineLoad[];
  /** Engines in scope that serve the model but take no new work. */
  leaving: readonly EngineLoad[];
  /** Weight of the engines, and of those that the list lacks for a moment. */
  weight: number;
  /** This daemon's running requests, those on leaving engines included. */
  own: number;
  /** Sum of the running requests that other daemons report. */
  reported: number;
}

/**
 * Creates a group without engines.
 * @param id - Hash of the model.
 */
export function createEngineGroup(id: number): EngineGroup {
  return { id, engines: [], leaving: [], weight: 0, own: 0, reported: 0 };
}

/**
 * Gets the mean running requests for each unit of weight, without those on leaving engines.
 * @param group - Group to measure.
 * @param now - Current time.
 */
export function getMean(group: EngineGroup, now: Instant): number {
  let total = group.own + group.reported;
  for (const engine of group.leaving) {
    total -= getCount(engine, now);
  }
  return group.weight === 0 ? 0 : Math.max(0, total) / group.weight;
}

/**
 * Gets the first candidates of a chat in rendezvous order.
 * @param engines - Engines to order.
 * @param chat - Hash of the chat.
 * @param count - Most candidates to return.
 */
export function getCandidates(
  engines: readonly EngineLoad[],
  chat: number,
  count: number,
): EngineLoad[] {
  const candidates: EngineLoad[] = [];
  const scores: number[] = [];
  for (const engine of engines) {
    const score = getRendezvousScore(chat, engine.id, engine.weight);
    if (candidates.length < count || score > (scores[count - 1] ?? 0)) {
      insertCandidate(candidates, scores, engine, score);
      candidates.length = Math.min(candidates.length, count);
      scores.length = candidates.length;
    }
  }
  return candidates;
}

function insertCandidate(
  candidates: EngineLoad[],
  scores: number[],
  engine: EngineLoad,
  score: number,
): void {
  let index = candidates.length;
  while (index > 0 && score > (scores[index - 1] ?? 0)) {
    index -= 1;
  }
  candidates.splice(index, 0, engine);
  scores.splice(index, 0, score);
}
