import type { Instant } from "../kernel/index.js";
import { ActError } from "./ActError.js";
import type { ActGuard, ActLimits, ActsEffect, ActSubmit, DaemonIncarnation } from "./messages.js";
import type { ActConclusion, ActErrorCode, ActOutcome } from "./schema.js";

/** Bounds used where `start` names none. */
export const defaultActLimits: ActLimits = {
  maxActs: 50_000,
  maxBytes: 32 * 1024 * 1024,
  maxAttempts: 3,
  maxForwards: 3,
};

/** A request that waits for the end of an act. */
export interface Waiter {
  readonly requestId: string;
  readonly deadline: Instant;
}

/** An act that was sent at least once; running until it has a conclusion. */
export interface ActRecord {
  readonly actId: string;
  readonly holdingId: string;
  readonly key: string;
  readonly service: string;
  readonly sequence: number;
  readonly fingerprint: string;
  readonly expiresAt: Instant;
  attempts: number;
  attemptId: string;
  bytes: number;
  waiters: Waiter[];
  conclusion?: ActConclusion;
}

/**
 * - `held`: this daemon runs the acts.
 * - `closing`: acts in flight end here, new ones wait for the hand-over.
 * - `handing-over`: the right is given up, the successor has not answered yet.
 * - `moved`: the successor has it.
 * - `lost`: given up, and not known to have arrived.
 */
export type HoldingPhase = "held" | "closing" | "handing-over" | "moved" | "lost";

/** The right to run the acts of one incarnation: this daemon's own, or an adopted one. */
export interface Holding {
  readonly id: string;
  readonly issuer: string;
  readonly incarnation: string;
  readonly secret: Uint8Array;
  /** Latest time that an earlier holder had seen. */
  readonly latestTime: Instant;
  readonly acts: Map<number, ActRecord>;
  lastExpiresAt: Instant;
  phase: HoldingPhase;
  successor?: DaemonIncarnation;
  /** Requests to be handled again after the hand-over. */
  queue: ActSubmit[];
}

/** A caller's request that a peer is to answer. */
export interface Forward {
  readonly submit: ActSubmit;
  readonly actId: string;
  readonly key: string;
  count: number;
}

export interface ActsState {
  self?: DaemonIncarnation;
  limits: ActLimits;
  disabledGuards: Set<ActGuard>;
  nextSequence: number;
  /** Latest time seen; a clock that jumps back does not turn it back. */
  latestTime: Instant;
  actCount: number;
  bytes: number;
  readonly holdings: Map<string, Holding>;
  readonly running: Map<string, ActRecord>;
  readonly forwards: Map<string, Forward>;
}

/** Creates the state of a daemon that has not started. */
export function createActsState(): ActsState {
  return {
    limits: defaultActLimits,
    disabledGuards: new Set(),
    nextSequence: 0,
    latestTime: 0,
    actCount: 0,
    bytes: 0,
    holdings: new Map(),
    running: new Map(),
    forwards: new Map(),
  };
}

/** Gets the identifier of the holding of an incarnation. */
export function getHoldingId(issuer: string, incarnation: string): string {
  return `${issuer}/${incarnation}`;
}

/** Creates a holding without records. */
export function createHolding(
  owner: DaemonIncarnation,
  secret: Uint8Array,
  latestTime: Instant,
  lastExpiresAt: Instant,
): Holding {
  return {
    id: getHoldingId(owner.name, owner.incarnation),
    issuer: owner.name,
    incarnation: owner.incarnation,
    secret,
    latestTime,
    lastExpiresAt,
    acts: new Map(),
    phase: "held",
    queue: [],
  };
}

export function isGuarded(state: ActsState, guard: ActGuard): boolean {
  return !state.disabledGuards.has(guard);
}

/** Gets this daemon's incarnation; the plug-in handles nothing before it is known. */
export function getSelfOrThrow(state: ActsState): DaemonIncarnation {
  if (state.self === undefined) {
    throw new TypeError("the acts plug-in has not started");
  }
  return state.self;
}

/** Gets the time by which the keys of a holding expire. */
export function getExpiryCheckTime(state: ActsState, holding: Holding, now: Instant): Instant {
  const ownTime = isGuarded(state, "act-latest-time") ? state.latestTime : now;
  return isGuarded(state, "hand-over-latest-time")
    ? Math.max(ownTime, holding.latestTime)
    : ownTime;
}

/** Forgets a record and the memory it took. */
export function removeRecord(state: ActsState, holding: Holding, record: ActRecord): void {
  holding.acts.delete(record.sequence);
  state.actCount -= 1;
  state.bytes -= record.bytes;
}

/** Creates the rejection of a request. */
export function reject(
  requestId: string,
  code: ActErrorCode,
  outcome: Exclude<ActOutcome, "complete">,
  message: string,
): ActsEffect {
  return { kind: "reject", requestId, error: new ActError(code, outcome, message) };
}
