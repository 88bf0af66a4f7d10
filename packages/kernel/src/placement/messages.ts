import type { PlacementPeerMessage } from "./peerMessage.js";
import type { PlacementStrategyName } from "./strategy.js";

/** A live daemon as the view names it. */
export interface PlacementDaemon {
  readonly name: string;
  readonly zone: string;
}

/** An engine as the view names it. */
export interface PlacementEngine {
  readonly name: string;
  readonly zone: string;
  readonly region?: string;
  readonly weight: number;
  /** Concurrent requests that the engine batches. */
  readonly slots: number;
  /** Names of the models that the engine serves. */
  readonly models: readonly string[];
  /** False when the engine is leaving, unreachable or refusing. */
  readonly eligible: boolean;
}

/** Names the daemon; sent once, before all others. */
export interface StartMessage {
  readonly kind: "start";
  readonly daemon: string;
  readonly zone: string;
  readonly seed: number;
  /** Version of the policy; the newest by default. */
  readonly strategy?: PlacementStrategyName;
}

/** Replaces the whole view of daemons and engines. */
export interface ViewMessage {
  readonly kind: "view";
  /** The live daemons, this one included. */
  readonly daemons: readonly PlacementDaemon[];
  readonly engines: readonly PlacementEngine[];
  /** Largest load of an engine as a multiple of the mean. */
  readonly bound: number;
}

/** What is remembered of a chat: the engine that holds its prefix, and how much of it. */
export interface CachedPrefix {
  readonly engine: string;
  readonly tokens: number;
}

/** Asks for an engine for a request. */
export interface PlaceMessage {
  readonly kind: "place";
  readonly requestId: string;
  readonly chat: string;
  readonly model: string;
  /** Estimated length of the prompt in tokens. */
  readonly tokens: number;
  /** Engines that hold a prefix of the chat, as the caller or the daemon remembers them. */
  readonly cachedHint?: readonly CachedPrefix[];
  /** True when the request carries no history, so that nothing of it can be cached. */
  readonly isFirstTurn: boolean;
  /** Names of engines that were tried already. */
  readonly exclude: readonly string[];
}

/** Reports that a placed request no longer runs, or that a request to be placed was given up. */
export interface FinishedMessage {
  readonly kind: "finished";
  readonly requestId: string;
  readonly cachedTokens?: number;
}

/** Hands over a datagram of another daemon. */
export interface PeerMessage {
  readonly kind: "peer";
  readonly from: string;
  readonly message: PlacementPeerMessage;
}

/** Lets time pass; due every 50 to 100 ms. */
export interface TickMessage {
  readonly kind: "tick";
}

/** Reports that a daemon is gone, before the next view says so. */
export interface PeerLostMessage {
  readonly kind: "peerLost";
  readonly daemon: string;
}

/** Asks where a chat would go and why. */
export interface ExplainMessage {
  readonly kind: "explain";
  readonly chat: string;
  readonly model: string;
}

/** Everything that the placement plug-in handles. */
export type PlacementMessage =
  | StartMessage
  | ViewMessage
  | PlaceMessage
  | FinishedMessage
  | PeerMessage
  | TickMessage
  | PeerLostMessage
  | ExplainMessage;

/** Why a request was placed where it was. */
export type PlacementReason =
  "cached" | "first-choice" | "levelled" | "spilled" | "owner-silent" | "all-above-limit";

/** Sends a datagram to another daemon. */
export interface SendEffect {
  readonly kind: "send";
  readonly to: string;
  readonly message: PlacementPeerMessage;
}

/** Names the engine of a request. */
export interface PlacedEffect {
  readonly kind: "placed";
  readonly requestId: string;
  readonly engine: string;
  readonly reason: PlacementReason;
}

/** Reports that no engine can take a request. */
export interface UnplaceableEffect {
  readonly kind: "unplaceable";
  readonly requestId: string;
  readonly reason: "unknown-model" | "no-eligible-engine";
}

/** One engine of an explanation. */
export interface ExplainedCandidate {
  readonly engine: string;
  readonly zone: string;
  /** Place in the chat's rendezvous order, from 1. */
  readonly rank: number;
  /** Running requests as far as this daemon knows. */
  readonly load: number;
  /** Most running requests that a placement may lead to. */
  readonly limit: number;
  readonly eligible: boolean;
  /** Daemon that keeps the engine's count. */
  readonly owner: string;
  readonly reason: "choice" | "eligible" | "above-limit" | "not-eligible";
}

/** Tells where a chat would go and why. */
export interface ExplainedEffect {
  readonly kind: "explained";
  readonly chat: string;
  readonly model: string;
  /** Mean running requests for each unit of weight. */
  readonly mean: number;
  readonly candidates: readonly ExplainedCandidate[];
  readonly choice: string | null;
}

/** Everything that the placement plug-in asks for. */
export type PlacementEffect = SendEffect | PlacedEffect | UnplaceableEffect | ExplainedEffect;
