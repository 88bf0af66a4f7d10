import type { Instant } from "../kernel/index.js";
import type { RetriesError } from "./RetriesError.js";

/** What a caller is told about its request: `not-run` only when nothing of it ran. */
export type FailureOutcome = "not-run" | "unknown";

/**
 * How an attempt failed. After `neverSent` and `refused` nothing ran; after `lost` (connection
 * broke), `timeout` and `mismatch` (answer of another attempt) the attempt may have run.
 */
export type FailureClass = "neverSent" | "refused" | "lost" | "timeout" | "mismatch";

/** A check that the fault matrix can switch off, to show that a cell can fail. */
export type RetryGuard =
  /** Retries are limited by the budget. */
  | "retry-budget"
  /** A call that may have run and is not idempotent is not sent again. */
  | "retry-repeatable"
  /** After its first byte a request is not sent again. */
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

/** A request ended by other means than `giveUp`; what is kept of it is dropped. */
export interface DoneMessage {
  readonly kind: "done";
  readonly requestId: string;
}

/** An attempt failed. */
export interface FailureMessage {
  readonly kind: "failed";
  readonly requestId: string;
  readonly class: FailureClass;
  /** Host that the attempt went to. */
  readonly host: string;
  /** Number of the attempt, from 1. */
  readonly attempt: number;
  /** True when the call is idempotent. */
  readonly repeatable: boolean;
  readonly firstByteSent: boolean;
  readonly deadline: Instant;
  /** Tokens that reached the caller, when the host can resume the stream after them. */
  readonly resumeOffset?: number;
  /** Instant before which the host asked not to be tried again. */
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

/** Resume the stream at the host that it came from. */
export interface ResumeEffect {
  readonly kind: "resume";
  readonly requestId: string;
  readonly host: string;
  readonly at: Instant;
  readonly offset: number;
}

/** Answer the caller now. */
export interface FailRequestEffect {
  readonly kind: "giveUp";
  readonly requestId: string;
  readonly error: RetriesError;
  readonly outcome: FailureOutcome;
  /** Instant at which coming back can help. */
  readonly retryAt: Instant;
}

export type RetriesEffect = RetryEffect | ResumeEffect | FailRequestEffect;
