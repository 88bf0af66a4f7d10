import {
  ContentQuarantine,
  getHash,
  getNoticeBytes,
  NoticeQueue,
  type FleetNotice,
  type Instant,
  type QuarantineChange,
  type RequestContent,
} from "@pistachioway/kernel";
import { Problem } from "../errors/index.js";
import type { AttemptFailure } from "../upstreams/index.js";

/** What the quarantine depends on. */
export interface CallerQuarantineDependencies {
  readonly getNow: () => Instant;
  /** Gets the milliseconds by which this daemon sends a content again later than its quarantine ends. */
  readonly getReleaseDelay: () => number;
  /** Called when requests with a content are refused from now on, and when they no longer are. */
  readonly onChange: (change: QuarantineChange) => void;
  /** Called when there are notices to send at once. */
  readonly onNotice: () => void;
}

/** An attempt of a caller's request that failed. */
export interface FailedAttemptEvidence {
  readonly content: RequestContent;
  /** Name of the engine or service host. */
  readonly upstream: string;
  /** Id of the caller's request. */
  readonly requestId: string;
  readonly failure: AttemptFailure;
}

/** Estimated size of the notices in one message. */
const maxNoticeBytes = 576;

/** Keeps chats and service calls that crash upstreams one after another from the other upstreams. */
export class CallerQuarantine {
  private readonly queue: NoticeQueue;
  private readonly quarantine: ContentQuarantine;

  private constructor(private readonly dependencies: CallerQuarantineDependencies) {
    this.queue = NoticeQueue.create({ getRandom: Math.random, onDropped: () => undefined });
    this.quarantine = ContentQuarantine.create({
      addFleetNotice: (notice) => {
        if (this.queue.add(notice, dependencies.getNow())) {
          dependencies.onNotice();
        }
      },
      getReleaseDelay: dependencies.getReleaseDelay,
      onChange: dependencies.onChange,
    });
  }

  /**
   * Creates a quarantine without contents.
   * @param dependencies - What it depends on.
   */
  static create(dependencies: CallerQuarantineDependencies): CallerQuarantine {
    return new CallerQuarantine(dependencies);
  }

  /**
   * Checks whether requests with a content are refused.
   * @param content - Content of a request.
   */
  isQuarantined(content: RequestContent): boolean {
    return this.quarantine.findQuarantined(content, this.dependencies.getNow()) !== undefined;
  }

  /**
   * Checks whether a request may be sent to an upstream.
   * @param content - Content of the request.
   * @param upstreams - What it would be sent to, such as `service "booking"`.
   * @param attemptCount - Attempts of the request so far.
   * @throws Problem when a content of the request is quarantined.
   */
  checkOrThrow(content: RequestContent, upstreams: string, attemptCount: number): void {
    const found = this.quarantine.findQuarantined(content, this.dependencies.getNow());
    if (found === undefined) {
      return;
    }
    const part = found.content === content.whole ? "this request" : "a part of the chat";
    const detail = `hosts of ${upstreams} crashed one after another on ${part}`;
    if (attemptCount > 0) {
      throw Problem.create("upstream-failed", detail, "unknown", found.endsAt);
    }
    throw Problem.create("content-quarantined", detail, "not-run", found.endsAt);
  }

  /** Records that an upstream answered a request completely. */
  recordAnswer(content: RequestContent): void {
    this.quarantine.recordSuccess(content, this.dependencies.getNow());
  }

  /** Records a failed attempt; it counts if the upstream ended the connection before its answer. */
  recordFailure({ content, upstream, requestId, failure }: FailedAttemptEvidence): void {
    if (failure.class === "lost" && failure.status === undefined) {
      const lost = { content, upstream: getHash(upstream), request: getHash(requestId) };
      this.quarantine.recordLoss(lost, this.dependencies.getNow());
    }
  }

  /** Takes the notices for the next message to the other daemons. */
  takeNotices(): readonly FleetNotice[] {
    const standing = this.quarantine.getStandingNotices(this.dependencies.getNow());
    return [...standing, ...this.queue.take(maxNoticeBytes - getNoticeBytes(standing))];
  }

  /**
   * Applies notices of another daemon, and passes those on that were not known.
   * @param notices - The notices.
   */
  receive(notices: readonly FleetNotice[]): void {
    const now = this.dependencies.getNow();
    for (const notice of notices) {
      if (notice.kind === "quarantine" || this.queue.add(notice, now)) {
        this.quarantine.applyNotice(notice, now);
      }
    }
  }
}
