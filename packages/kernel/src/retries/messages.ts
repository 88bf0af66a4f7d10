import type { Instant } from "../kernel/index.js";
import type { RetriesError } from "./RetriesError.js";

/** Outcome that is reported to the caller: `not-run` only when no attempt can have run. */
export type FailureOutcome = "not-run" | "unknown";

/**
 * How an attempt failed. After `neverSent` and `refused` it did not run; after `lost` (connection
 * broke), `timeout` and `mismatch` (response to another attempt) it may have run.
 */
export type FailureClass = "neverSent" | "refused" | "lost" | "timeout" | "mismatch";

/** A check that the fault matrix can switch off, to show that its tests detect the failure. */
export type RetryGuard =
  /** Limits retries by the budget. */
  | "retry-budget"
  /** Prevents retries of calls that may have run and are not idempotent. */
  | "retry-repeatable"
  /** Prevents retries after the first byte was sent to the caller. */
  | "retry-first-byte";

/** The retry budget of an accepted configuration. */
export interface BudgetMessage {
  readonly kind: "configure";
  readonly budgetRatio: number;
  readonly disabledGuards?: readonly RetryGuard[];
}

/** A request starts its first attempt. */
export interface StartMessage {
  readonly kind: "start";
  readonly requestId: string;
}

/** A request ended without a `giveUp` effect; its state is removed. */
export interface DoneMessage {
  readonly kind: "done";
  readonly requestId: string;
}

/** An attempt failed. */
export interface FailureMessage {
  readonly kind: "failed";
  readonly requestId: string;
  readonly class: FailureClass;
  /** Host that the attempt was sent to. */
  readonly host: string;
  /** Number of the attempt, from 1. */
  readonly attempt: number;
  /** True when the call is idempotent. */
  readonly repeatable: boolean;
  readonly firstByteSent: boolean;
  readonly deadline: Instant;
  /** Tokens that reached the caller, when the host can resume the stream after them. */
  readonly resumeOffset?: number;
  /** Earliest instant of a retry, as the host requested. */
  readonly retryAfter?: Instant;
}

export type RetriesMessage = BudgetMessage | StartMessage | DoneMessage | FailureMessage;

/** Send the request again at an instant, to a host that is not excluded. */
export interface RetryEffect {
  readonly kind: "retry";
  readonly requestId: string;
  readonly at: Instant;
  readonly exclude: readonly string[];
}

/** Resume the stream at the same host. */
export interface ResumeEffect {
  readonly kind: "resume";
  readonly requestId: string;
  readonly host: string;
  readonly at: Instant;
  readonly offset: number;
}

/** Fail the request and respond to the caller now. */
export interface FailRequestEffect {
  readonly kind: "giveUp";
  readonly requestId: string;
  readonly error: RetriesError;
  readonly outcome: FailureOutcome;
  /** Instant from which the caller may retry. */
  readonly retryAt: Instant;
}

export type RetriesEffect = RetryEffect | ResumeEffect | FailRequestEffect;
