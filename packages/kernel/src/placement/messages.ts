import type { PlacementPeerMessage } from "./peerMessage.js";
import type { PlacementStrategyName } from "./strategy.js";

/** A live daemon, as listed in the view. */
export interface PlacementDaemon {
  readonly name: string;
  readonly zone: string;
}

/** An engine, as listed in the view. */
export interface PlacementEngine {
  readonly name: string;
  readonly zone: string;
  readonly region?: string;
  readonly weight: number;
  /** Number of concurrent requests that the engine batches. */
  readonly slots: number;
  /** Names of the models that the engine serves. */
  readonly models: readonly string[];
  /** False when the engine is leaving, unreachable or refusing. */
  readonly eligible: boolean;
}

/** Starts the placement of a daemon. Sent once, before all other messages. */
export interface StartMessage {
  readonly kind: "start";
  readonly daemon: string;
  readonly zone: string;
  readonly seed: number;
  /** Version of the placement policy; the newest by default. */
  readonly strategy?: PlacementStrategyName;
}

/** Replaces the view of daemons and engines. */
export interface ViewMessage {
  readonly kind: "view";
  /** The live daemons, this one included. */
  readonly daemons: readonly PlacementDaemon[];
  readonly engines: readonly PlacementEngine[];
  /** Largest load of an engine as a multiple of the mean. */
  readonly bound: number;
}

/** A cached prefix of a chat: the engine that holds it, and its length. */
export interface CachedPrefix {
  readonly engine: string;
  readonly tokens: number;
}

/** Requests the placement of a request on an engine. */
export interface PlaceMessage {
  readonly kind: "place";
  readonly requestId: string;
  readonly chat: string;
  readonly model: string;
  /** Estimated length of the prompt in tokens. */
  readonly tokens: number;
  /** Engines that hold a prefix of the chat, as known to the caller or the daemon. */
  readonly cachedHint?: readonly CachedPrefix[];
  /** True when the request has no message history, so that no prefix of it can be cached. */
  readonly isFirstTurn: boolean;
  /** Names of the engines that were already tried. */
  readonly exclude: readonly string[];
}

/** Reports that a placed request has ended, or that a request to be placed was cancelled. */
export interface FinishedMessage {
  readonly kind: "finished";
  readonly requestId: string;
  readonly cachedTokens?: number;
}

/** Delivers a message of another daemon. */
export interface PeerMessage {
  readonly kind: "peer";
  readonly from: string;
  readonly message: PlacementPeerMessage;
}

/** Runs the work that is due by time. Sent every 50 to 100 ms. */
export interface TickMessage {
  readonly kind: "tick";
}

/** Reports the loss of a daemon before the next view. */
export interface PeerLostMessage {
  readonly kind: "peerLost";
  readonly daemon: string;
}

/** Requests an explanation of where a chat would be placed. */
export interface ExplainMessage {
  readonly kind: "explain";
  readonly chat: string;
  readonly model: string;
}

/** Any message that the placement plug-in handles. */
export type PlacementMessage =
  | StartMessage
  | ViewMessage
  | PlaceMessage
  | FinishedMessage
  | PeerMessage
  | TickMessage
  | PeerLostMessage
  | ExplainMessage;

/** Why a request was placed on its engine. */
export type PlacementReason =
  "cached" | "first-choice" | "levelled" | "spilled" | "owner-silent" | "all-above-limit";

/** Sends a message to another daemon. */
export interface SendEffect {
  readonly kind: "send";
  readonly to: string;
  readonly message: PlacementPeerMessage;
}

/** Reports the engine that a request was placed on. */
export interface PlacedEffect {
  readonly kind: "placed";
  readonly requestId: string;
  readonly engine: string;
  readonly reason: PlacementReason;
}

/** Reports that no engine can serve a request. */
export interface UnplaceableEffect {
  readonly kind: "unplaceable";
  readonly requestId: string;
  readonly reason: "unknown-model" | "no-eligible-engine";
}

/** One engine of an explanation. */
export interface ExplainedCandidate {
  readonly engine: string;
  readonly zone: string;
  /** Position in the chat's rendezvous order, from 1. */
  readonly rank: number;
  /** Running requests as known to this daemon. */
  readonly load: number;
  /** Maximum number of running requests after a placement. */
  readonly limit: number;
  readonly eligible: boolean;
  /** Daemon that keeps the engine's count. */
  readonly owner: string;
  readonly reason: "choice" | "eligible" | "above-limit" | "not-eligible";
}

/** Explains where a chat would be placed and why. */
export interface ExplainedEffect {
  readonly kind: "explained";
  readonly chat: string;
  readonly model: string;
  /** Mean number of running requests per unit of weight. */
  readonly mean: number;
  readonly candidates: readonly ExplainedCandidate[];
  readonly choice: string | null;
}

/** Any effect that the placement plug-in returns. */
export type PlacementEffect = SendEffect | PlacedEffect | UnplaceableEffect | ExplainedEffect;
