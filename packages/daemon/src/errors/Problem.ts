import type { Instant } from "@pistachioway/kernel";
import { DaemonError } from "./DaemonError.js";

/** What is known about the effect of a request. */
export type Outcome = "complete" | "not-run" | "unknown";

/**
 * What an outcome speaks of: the request as it was sent this time, or the act of the caller's key,
 * which was looked up.
 */
export type OutcomeSubject = "request" | "act";

/** The HTTP statuses of the failures that callers receive, by stable name. */
export const problemStatuses = {
  "malformed-body": 400,
  "invalid-request": 400,
  "invalid-deadline": 400,
  unauthorized: 401,
  "unknown-model": 404,
  "unknown-service": 404,
  "unknown-path": 404,
  "body-too-large": 413,
  "invalid-act-key": 400,
  "act-key-expired": 410,
  "act-mismatch": 422,
  "act-table-full": 503,
  "act-outcome-unknown": 502,
  "team-over-limit": 429,
  "over-capacity": 503,
  "no-configuration": 503,
  "no-upstream": 503,
  "upstream-failed": 502,
  "upstream-refused": 503,
  "content-quarantined": 503,
  "answer-interrupted": 502,
  "deadline-exceeded": 504,
  "shutting-down": 503,
  internal: 500,
} as const;

export type ProblemName = keyof typeof problemStatuses;

/** A failure that is reported to the caller as `application/problem+json`. */
export class Problem extends DaemonError {
  readonly code: ProblemName;

  private constructor(
    name: ProblemName,
    readonly detail: string,
    readonly outcome: Outcome,
    readonly retryAt: Instant | undefined,
    readonly subject: OutcomeSubject,
  ) {
    super(detail);
    this.code = name;
  }

  /**
   * Creates a problem.
   * @param name - Stable name of the failure.
   * @param detail - Sentence that says what failed.
   * @param outcome - What is known about the effect of the request.
   * @param retryAt - Earliest time at which a retry may succeed.
   */
  static create(
    name: ProblemName,
    detail: string,
    outcome: Outcome = "not-run",
    retryAt?: Instant,
  ): Problem {
    return new Problem(name, detail, outcome, retryAt, "request");
  }

  /**
   * Creates the problem of an act that was looked up.
   * @param name - Stable name of the failure.
   * @param detail - Sentence that says what failed.
   * @param outcome - What is known about the effect of the act, by all requests with its key.
   * @param retryAt - Earliest time at which a retry may succeed.
   */
  static createOfAct(
    name: ProblemName,
    detail: string,
    outcome: Outcome,
    retryAt?: Instant,
  ): Problem {
    return new Problem(name, detail, outcome, retryAt, "act");
  }

  /** Gets the HTTP status. */
  getStatus(): number {
    return problemStatuses[this.code];
  }
}
