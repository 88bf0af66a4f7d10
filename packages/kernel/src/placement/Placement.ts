import type { Instant } from "../kernel/Plugin.js";
import { getCandidates, type EngineGroup } from "./EngineGroup.js";
import type { EngineLoad } from "./EngineLoad.js";
import { getHash } from "../hashing/index.js";
import type { PlaceMessage, PlacementReason } from "./messages.js";
import type { PlacementStrategy } from "./strategy.js";

/** A request that is being placed or runs on an engine. */
export interface Placement {
  readonly requestId: string;
  readonly group: EngineGroup;
  /** Hash of the chat. */
  readonly chat: number;
  /** Engines that the request may run on. */
  readonly engines: readonly EngineLoad[];
  /** The chat's first engines in rendezvous order. */
  readonly candidates: readonly EngineLoad[];
  /** Engines that refused the request. */
  readonly refusedEngines: Set<EngineLoad>;
  /** Number of times that an engine had no capacity. */
  refusalCount: number;
  /** Engine that is known to cache the chat's prefix, if any. */
  cachedEngine: EngineLoad | undefined;
  /** True to use the mean load as the limit, when the request gains little from a cached prefix. */
  usesMeanLimit: boolean;
  /** True while the owner of the first candidate may know the engine that caches the chat. */
  canLookUpChat: boolean;
  /** Engine that is being tried or runs the request. */
  engine: EngineLoad | undefined;
  reason: PlacementReason;
  /** The reservation that is waiting for an answer, if any. */
  reservation: PendingReservation | undefined;
}

/** A reservation that is waiting for the owner's answer. */
export interface PendingReservation {
  readonly id: number;
  readonly owner: string;
  readonly sentAt: Instant;
  readonly deadline: Instant;
  /** True when it was sent a second time after the first one's deadline passed. */
  readonly isRepeated: boolean;
}

/** Up to this length, a prompt is cheap to compute without a cached prefix. */
const shortPromptTokens = 256;

/**
 * Creates the placement of a new request.
 * @param message - The request.
 * @param group - Engines that serve the model.
 * @param engines - Engines that the request may run on; at least one.
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
 * Gets the engines of a group on which a request has not been tried.
 * @param group - Engines that serve the model.
 * @param exclude - Names of the engines that were tried.
 */
export function getAllowedEngines(
  group: EngineGroup,
  exclude: readonly string[],
): readonly EngineLoad[] {
  return exclude.length === 0
    ? group.engines
    : group.engines.filter((engine) => !exclude.includes(engine.name));
}
