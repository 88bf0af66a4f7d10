import type { Instant } from "../kernel/Plugin.js";
import { getCandidates, type EngineGroup } from "./EngineGroup.js";
import type { EngineLoad } from "./EngineLoad.js";
import { getHash } from "./hash.js";
import type { PlaceMessage, PlacementReason } from "./messages.js";
import type { PlacementStrategy } from "./strategy.js";

/** A request on its way to an engine, or running on one. */
export interface Placement {
  readonly requestId: string;
  readonly group: EngineGroup;
  readonly chat: number;
  /** Engines that may be used. */
  readonly engines: readonly EngineLoad[];
  /** The chat's first engines in rendezvous order. */
  readonly candidates: readonly EngineLoad[];
  /** Engines that refused the request. */
  readonly refusedEngines: Set<EngineLoad>;
  /** How many times an engine had no room. */
  refusalCount: number;
  /** Engine that the chat was last known at, if any. */
  cachedEngine: EngineLoad | undefined;
  /** True when there is nothing to reuse at the engine to be tried. */
  usesMeanLimit: boolean;
  /** True while the owner of the first choice may know the chat's engine. */
  canLookUpChat: boolean;
  /** Engine that is tried or runs the request. */
  engine: EngineLoad | undefined;
  reason: PlacementReason;
  /** The reservation that waits for an answer, if any. */
  reservation: PendingReservation | undefined;
}

/** A reservation that waits for its owner's answer. */
export interface PendingReservation {
  readonly id: number;
  readonly owner: string;
  readonly sentAt: Instant;
  readonly deadline: Instant;
  /** True when it was sent again after a first deadline. */
  readonly isRepeated: boolean;
}

const shortPromptTokens = 256;

/**
 * Creates the placement of a request that is not tried anywhere yet.
 * @param message - The request.
 * @param group - Engines that serve the model.
 * @param engines - Engines that may be used; at least one.
 * @param strategy - Version of the policy.
 */
export function createPlacement(
  message: PlaceMessage,
  group: EngineGroup,
  engines: readonly EngineLoad[],
  strategy: PlacementStrategy,
): Placement {
  const chat = getHash(message.chat);
  const isPrefillCheap = message.isFirstTurn || message.tokens <= shortPromptTokens;
  return {
    requestId: message.requestId,
    group,
    chat,
    engines,
    candidates: getCandidates(engines, chat, strategy.candidateCount),
    refusedEngines: new Set(),
    refusalCount: 0,
    cachedEngine: undefined,
    usesMeanLimit: strategy.usesMeanLimit && isPrefillCheap,
    canLookUpChat: false,
    engine: undefined,
    reason: "first-choice",
    reservation: undefined,
  };
}

/**
 * Gets the engines of a group that a request was not tried at.
 * @param group - Engines that serve the model.
 * @param exclude - Names of engines that were tried.
 */
export function getAllowedEngines(
  group: EngineGroup,
  exclude: readonly string[],
): readonly EngineLoad[] {
  return exclude.length === 0
    ? group.engines
    : group.engines.filter((engine) => !exclude.includes(engine.name));
}
