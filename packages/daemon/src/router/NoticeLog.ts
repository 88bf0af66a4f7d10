import type { QuarantineChange, UpstreamNotice } from "@pistachioway/kernel";
import type { Fields, LogLevel } from "../log/line.js";
import { toHex } from "../log/toHex.js";
import type { RouterMetrics } from "../metrics/RouterMetrics.js";

type RecordEvent = (level: LogLevel, event: string, fields: Fields) => void;

/** Writes log lines and metrics of what upstreams announce and of contents of requests that crash them. */
export class NoticeLog {
  private constructor(
    private readonly metrics: RouterMetrics,
    private readonly recordEvent: RecordEvent,
  ) {}

  /**
   * Creates a log.
   * @param metrics - Metrics that count the notices.
   * @param recordEvent - Writes a log line.
   */
  static create(metrics: RouterMetrics, recordEvent: RecordEvent): NoticeLog {
    return new NoticeLog(metrics, recordEvent);
  }

  /**
   * Records notices.
   * @param notices - Notices about upstreams.
   * @param source - `response`, or the name of the peer that passed them on.
   */
  record(notices: readonly UpstreamNotice[], source: string): void {
    for (const notice of notices) {
      this.metrics.upstreamNotices.inc({ kind: notice.kind });
      this.recordNotice(notice, source);
    }
  }

  /**
   * Records that requests with a content are refused from now on, or no longer.
   * @param change - What changed.
   * @param now - Current time.
   */
  recordQuarantine({ kind, content, quarantine, source }: QuarantineChange, now: number): void {
    this.metrics.quarantines.inc({ kind });
    this.recordEvent("warn", `content.quarantine-${kind}`, {
      content: toHex(content),
      source,
      count: quarantine.count,
      left: Math.round(quarantine.endsAt - now),
    });
  }

  private recordNotice(notice: UpstreamNotice, source: string): void {
    const { upstream } = notice;
    switch (notice.kind) {
      case "leaving":
        this.recordEvent("info", "upstream.leaving", { upstream, source });
        break;
      case "resting": {
        const milliseconds = Math.round(notice.milliseconds);
        const bounded = String(notice.isBounded);
        this.recordEvent("info", "upstream.resting", { upstream, milliseconds, bounded });
        break;
      }
      case "limited":
        this.recordEvent("info", "upstream.limited", {
          upstream,
          perSecond: notice.perSecond ?? "none",
          source,
        });
        break;
      case "invalidLimit":
        this.recordEvent("warn", "upstream.limit-invalid", { upstream, text: notice.text });
        break;
      case "invalidRest":
        this.recordEvent("warn", "upstream.rest-invalid", { upstream, text: notice.text });
        break;
    }
  }
}
