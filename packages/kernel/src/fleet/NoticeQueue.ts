import type { FleetNotice } from "./messages.js";
import { getNoticeBytes } from "./noticeBytes.js";
import { NoticeLane, type NoticeLaneOptions, type WaitingNotices } from "./NoticeLane.js";

/** Priority of a notice: what the daemons decide on together, or what only saves work. */
type NoticePriority = "decision" | "hint";

const priorityByKind: Readonly<Record<FleetNotice["kind"], NoticePriority>> = {
  leaving: "decision",
  resting: "decision",
  limit: "decision",
  pace: "decision",
  loss: "decision",
  quarantine: "decision",
  // A loss must not be faster than what disproves it.
  served: "decision",
  prefix: "hint",
};

/** Messages in which each daemon passes a notice on: more for what must reach all even while half of them are gone. */
const maxRelaysByPriority: Readonly<Record<NoticePriority, number>> = {
  decision: 6,
  hint: 3,
};

/** Bytes of a message that hints get although notices of decisions wait, and at most. */
const reservedHintBytes = 64;
const maxHintBytes = 256;

/** What a queue depends on. */
export type NoticeQueueOptions = Omit<NoticeLaneOptions, "maxRelays">;

/** Checks whether a daemon that does not know a notice only works more than it had to. */
export function isHint({ kind }: FleetNotice): boolean {
  return priorityByKind[kind] === "hint";
}

/** The notices that a daemon passes on, by their priority, so that none of them keeps another from the fleet. */
export class NoticeQueue {
  private readonly lanes: Readonly<Record<NoticePriority, NoticeLane>>;

  private constructor(options: NoticeQueueOptions) {
    const createLane = (priority: NoticePriority): NoticeLane =>
      NoticeLane.create({ ...options, maxRelays: maxRelaysByPriority[priority] });
    this.lanes = {
      decision: createLane("decision"),
      hint: createLane("hint"),
    };
  }

  /**
   * Creates an empty queue.
   * @param options - What it depends on.
   */
  static create(options: NoticeQueueOptions): NoticeQueue {
    return new NoticeQueue(options);
  }

  /**
   * Adds a notice that this daemon made or received.
   * @param notice - The notice.
   * @param now - Current time.
   * @returns False if it was known.
   */
  add(notice: FleetNotice, now: number): boolean {
    return this.getLane(notice.kind).add(notice, now);
  }

  /**
   * Takes notices for one message: those of decisions first, but for what is reserved for hints.
   * @param maxBytes - Estimated size that all of them have at most.
   */
  take(maxBytes: number): readonly FleetNotice[] {
    const { decision, hint } = this.lanes;
    const decisions = decision.take(maxBytes - (hint.isEmpty() ? 0 : reservedHintBytes));
    const free = maxBytes - getNoticeBytes(decisions);
    return [...decisions, ...hint.take(Math.min(free, maxHintBytes))];
  }

  /**
   * Takes notices that all daemons decide on for a message that holds nothing else.
   * @param maxBytes - Estimated size that all of them have at most.
   */
  takeDecisions(maxBytes: number): readonly FleetNotice[] {
    return this.lanes.decision.take(maxBytes);
  }

  /** Gets since when a notice that all daemons decide on waits for its first message, if one does. */
  getOldestDecisionAt(): number | undefined {
    return this.lanes.decision.getOldestWaitingAt();
  }

  /**
   * Gets how many notices of a kind no message has held yet, and since when.
   * @param kind - Kind of the notices.
   */
  getWaiting(kind: FleetNotice["kind"]): WaitingNotices {
    return this.getLane(kind).getWaiting(kind);
  }

  private getLane(kind: FleetNotice["kind"]): NoticeLane {
    return this.lanes[priorityByKind[kind]];
  }
}
