import type { Instant } from "../kernel/index.js";
import { ActError } from "./ActError.js";
import type { ActGuard, ActLimits, ActsEffect, ActSubmit, DaemonIncarnation } from "./messages.js";
import type { ActConclusion, ActErrorCode, ActOutcome } from "./schema.js";

/** Limits that apply when `start` sets none. */
export const defaultActLimits: ActLimits = {
  maxActs: 50_000,
  maxBytes: 32 * 1024 * 1024,
  maxAttempts: 3,
  maxForwards: 3,
};

/** A request that is waiting for the end of an act. */
export interface Waiter {
  readonly requestId: string;
  readonly deadline: Instant;
}

/** An act that was sent at least once. It is running until it has a conclusion. */
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
 * - `closing`: acts in flight end here; new ones are queued until the hand-over.
 * - `handing-over`: the table is released; the successor has not answered yet.
 * - `moved`: the successor has adopted the table.
 * - `lost`: the table is released; whether the successor adopted it is unknown.
 */
export type HoldingPhase = "held" | "closing" | "handing-over" | "moved" | "lost";

/** Table of the acts of one incarnation, with the exclusive right to run them: own or adopted. */
export interface Holding {
  readonly id: string;
  readonly issuer: string;
  readonly incarnation: string;
  readonly secret: Uint8Array;
  /** Latest clock reading of an earlier holder; 0 for the own table. */
  readonly latestTime: Instant;
  readonly acts: Map<number, ActRecord>;
  lastExpiresAt: Instant;
  phase: HoldingPhase;
  successor?: DaemonIncarnation;
  /** Requests that are handled again after the hand-over. */
  queue: ActSubmit[];
}

/** A caller's request that was forwarded to a peer. */
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
  /** Latest clock reading. It never decreases, even when the clock is set back. */
  latestTime: Instant;
  actCount: number;
  bytes: number;
  readonly holdings: Map<string, Holding>;
  readonly running: Map<string, ActRecord>;
  readonly forwards: Map<string, Forward>;
}

/** Creates the state of a daemon before its `start`. */
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

export function isGuardEnabled(state: ActsState, guard: ActGuard): boolean {
  return !state.disabledGuards.has(guard);
}

/** Gets the incarnation of this daemon, which `start` sets before any other message. */
export function getSelfOrThrow(state: ActsState): DaemonIncarnation {
  if (state.self === undefined) {
    throw new TypeError("the acts plug-in has not started");
  }
  return state.self;
}

/** Gets the time that the expiry of a holding's keys is compared with. */
export function getExpiryCheckTime(state: ActsState, holding: Holding, now: Instant): Instant {
  const ownTime = isGuardEnabled(state, "act-latest-time") ? state.latestTime : now;
  return isGuardEnabled(state, "hand-over-latest-time")
    ? Math.max(ownTime, holding.latestTime)
    : ownTime;
}

/** Removes a record and subtracts it from the counts. */
export function removeRecord(state: ActsState, holding: Holding, record: ActRecord): void {
  holding.acts.delete(record.sequence);
  state.actCount -= 1;
  state.bytes -= record.bytes;
}

/** Creates the effect that rejects a request. */
export function reject(
  requestId: string,
  code: ActErrorCode,
  outcome: Exclude<ActOutcome, "complete">,
  message: string,
): ActsEffect {
  return { kind: "reject", requestId, error: new ActError(code, outcome, message) };
}
