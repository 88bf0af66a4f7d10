import type { AttemptEnd } from "@pistachioway/kernel";
import { isCompleteBy, type EndEvidence } from "../exchange/index.js";
import type { ActiveRequestDependencies } from "./ActiveRequestDependencies.js";
import { toHex } from "../log/toHex.js";
import type { AnswerBound, AnswerFault } from "./AnswerBody.js";
import { getResumedIdStart, getSharedBlockIds, type AcceptedRequest } from "./AcceptedRequest.js";
import type { Attempt } from "./Attempt.js";
import type { AttemptTarget, TargetReport } from "./AttemptTarget.js";
import type { RefusalName } from "./refusals.js";

const millisecondsPerSecond = 1_000;
/** Length of the list of prompt blocks in a log line, in characters. */
const maxBlocksLength = 200;

/**
 * How a request ended: answered by an upstream, abandoned by its caller, with an incomplete response,
 * or refused by this daemon.
 */
export type ActiveRequestOutcome =
  "answered" | "abandoned" | "broken" | "cut-at-deadline" | "cut-at-stop" | RefusalName;

const noTarget: TargetReport = { upstream: "-", software: "-", choice: "-", load: 0, via: "-" };

/** State of a request, as reported in log lines. */
export interface ActiveRequestState {
  /** Attempts that may have run. */
  readonly runs: number;
  /** Attempts that have certainly not run. */
  readonly refusals: number;
  /** Status of the response; 0 when the caller received none. */
  readonly status: number;
  /** Description of the last failure; empty when there was none. */
  readonly lastFailure: string;
  /** Time for which the request waited for its first attempt. */
  readonly waitedMilliseconds: number;
}

/** Writes the log lines and metrics of one request. */
export class ActiveRequestReport {
  private constructor(
    private readonly dependencies: ActiveRequestDependencies,
    private readonly request: AcceptedRequest,
  ) {}

  /**
   * Creates a report.
   * @param dependencies - Dependencies of the request's processing.
   * @param request - Request to report on.
   */
  static create(
    dependencies: ActiveRequestDependencies,
    request: AcceptedRequest,
  ): ActiveRequestReport {
    return new ActiveRequestReport(dependencies, request);
  }

  /** Records that the request is retried. */
  recordRetry(after: AttemptEnd, { runs, refusals, lastFailure }: ActiveRequestState): void {
    this.dependencies.record("info", "request.retried", {
      request: this.request.head.id,
      after,
      detail: lastFailure,
      runs,
      refusals,
    });
    this.dependencies.metrics.retries.inc({ after });
  }

  /**
   * Records that an attempt may have run and was lost with its connection.
   * @param attempt - The attempt.
   * @param detail - How the connection ended.
   */
  recordLoss({ target, head, firstBodyByteAt }: Attempt, detail: string): void {
    const now = this.dependencies.getNow();
    this.dependencies.record("info", "attempt.lost", {
      request: this.request.head.id,
      upstream: target.getReport(now).upstream,
      status: head?.status ?? 0,
      // Time since the upstream began to write its answer; -1 when it had not.
      written: firstBodyByteAt === undefined ? -1 : Math.round(now - firstBodyByteAt),
      // The same for requests that come again whole.
      content: toHex(this.request.content.whole),
      blocks: getSharedBlockIds(this.request.head).join(",").slice(0, maxBlocksLength),
      detail,
    });
    this.dependencies.metrics.lostAttempts.inc({ service: this.request.service });
  }

  /**
   * Records that an attempt is ended because of its answer's size, or because that is not the rest of the stream.
   * @param attempt - The attempt.
   * @param fault - What is wrong with the answer.
   */
  recordFault(attempt: Attempt, fault: AnswerFault): void {
    if (fault === "misplaced") {
      this.recordMisplaced(attempt);
    } else {
      this.recordBound(attempt, fault);
    }
  }

  private recordBound({ target, head }: Attempt, bound: AnswerBound): void {
    const { getNow, memory, metrics, record } = this.dependencies;
    record("warn", "answer.unbounded", {
      request: this.request.head.id,
      upstream: target.getReport(getNow()).upstream,
      service: this.request.service,
      status: head?.status ?? 0,
      bound,
      kept: memory.getUsedBytes(),
    });
    metrics.unboundedAnswers.inc({ bound });
  }

  private recordMisplaced({ target }: Attempt): void {
    this.dependencies.record("warn", "stream.misplaced", {
      request: this.request.head.id,
      upstream: target.getReport(this.dependencies.getNow()).upstream,
      service: this.request.service,
    });
  }

  /**
   * Records what the end of the connection of an answer without length or chunks was taken for.
   * @param attempt - The attempt.
   * @param isEnd - Whether it was taken for the end of the answer.
   */
  recordUnframedEnd({ target }: Attempt, evidence: EndEvidence): void {
    const { getNow, metrics, record } = this.dependencies;
    const isEnd = isCompleteBy(evidence);
    const end = isEnd ? "complete" : "crash";
    metrics.unframedAnswers.inc({ end, evidence });
    record(isEnd ? "debug" : "info", "answer.unframed-end", {
      request: this.request.head.id,
      upstream: target.getReport(getNow()).upstream,
      end,
      evidence,
    });
  }

  /**
   * Records the end of the request.
   * @param outcome - How it ended.
   * @param state - State of the request at its end.
   * @param target - Target that was chosen last.
   * @param firstByteAt - When the head of a stream was received; undefined for other responses.
   */
  recordEnd(
    outcome: ActiveRequestOutcome,
    { runs, refusals, status, lastFailure, waitedMilliseconds }: ActiveRequestState,
    target: AttemptTarget | undefined,
    firstByteAt: number | undefined,
  ): void {
    const now = this.dependencies.getNow();
    const { arrivedAt, approval, head, service, deadline } = this.request;
    const kind = approval.route.kind;
    this.dependencies.record("info", "request.finished", {
      request: head.id,
      outcome,
      status,
      route: approval.route.name,
      team: approval.team?.name ?? "-",
      service,
      version: this.dependencies.getVersion(),
      age: Math.round(this.dependencies.getAgeMilliseconds()),
      ...(target?.getReport(now) ?? noTarget),
      from: this.request.forwarded?.sender ?? "-",
      resumes: head.lastEventId === undefined ? "-" : (getResumedIdStart(head) ?? "unknown"),
      runs,
      refusals,
      ...(waitedMilliseconds === 0 ? {} : { waited: Math.round(waitedMilliseconds) }),
      first: Math.round((firstByteAt ?? now) - arrivedAt),
      milliseconds: Math.round(now - arrivedAt),
      left: Math.round(deadline - now),
      ...(lastFailure === "" ? {} : { detail: lastFailure }),
    });
    this.dependencies.metrics.requests.inc({ kind, outcome });
    this.dependencies.metrics.duration.observe({ kind }, (now - arrivedAt) / millisecondsPerSecond);
  }
}
