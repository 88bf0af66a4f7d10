import type { AttemptEnd, UpstreamChoice } from "@pistachioway/kernel";
import type { FlowParts } from "./FlowParts.js";
import type { FlowRequest } from "./FlowRequest.js";
import type { RefusalName } from "./refusals.js";

const millisecondsPerSecond = 1_000;

/** How a request ended: answered, left by its caller, broken off, or with an answer of the daemon. */
export type FlowOutcome = "answered" | "abandoned" | "broken" | "cut-at-deadline" | RefusalName;

/** Where a request stands when something is decided about it. */
export interface FlowStand {
  /** Attempts that may have run. */
  readonly runs: number;
  /** Attempts that surely did not run. */
  readonly refusals: number;
  /** Status of the answer; 0 when the caller got none. */
  readonly status: number;
  /** What went wrong last; empty when nothing did. */
  readonly lastFailure: string;
}

/** Writes the log lines and metrics of one request. */
export class FlowReport {
  private constructor(
    private readonly parts: FlowParts,
    private readonly request: FlowRequest,
  ) {}

  /**
   * Creates a report.
   * @param parts - What the flow works with.
   * @param request - Request that is reported on.
   */
  static create(parts: FlowParts, request: FlowRequest): FlowReport {
    return new FlowReport(parts, request);
  }

  /** Reports that the request is sent once more. */
  retry(after: AttemptEnd, { runs, refusals, lastFailure }: FlowStand): void {
    this.parts.record("info", "request.retried", {
      request: this.request.head.id,
      after,
      detail: lastFailure,
      runs,
      refusals,
    });
    this.parts.metrics.retries.inc({ after });
  }

  /**
   * Reports the end of the request.
   * @param outcome - How it ended.
   * @param stand - What was done for it.
   * @param choice - Upstream that was chosen last.
   * @param firstByteAt - When the first byte of a stream came; undefined for other answers.
   */
  finish(
    outcome: FlowOutcome,
    { runs, refusals, status, lastFailure }: FlowStand,
    choice: UpstreamChoice | undefined,
    firstByteAt: number | undefined,
  ): void {
    const now = this.parts.getNow();
    const { arrivedAt, pass, head, service, deadline } = this.request;
    const kind = pass.route.kind;
    this.parts.record("info", "request.finished", {
      request: head.id,
      outcome,
      status,
      route: pass.route.name,
      team: pass.team?.name ?? "-",
      service,
      version: this.parts.getVersion(),
      age: Math.round(this.parts.getAgeMilliseconds()),
      upstream: choice?.entry.record.id ?? "-",
      choice: choice?.reason ?? "-",
      load: choice?.entry.getLoad(now) ?? 0,
      runs,
      refusals,
      first: Math.round((firstByteAt ?? now) - arrivedAt),
      milliseconds: Math.round(now - arrivedAt),
      left: Math.round(deadline - now),
      ...(lastFailure === "" ? {} : { detail: lastFailure }),
    });
    this.parts.metrics.requests.inc({ kind, outcome });
    this.parts.metrics.duration.observe({ kind }, (now - arrivedAt) / millisecondsPerSecond);
  }
}
