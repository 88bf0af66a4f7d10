import type { FleetNotice } from "./messages.js";

/** Number of rounds in which each daemon passes a notice on. */
const maxRelays = 3;
/** Time for which a notice is remembered, so that it is not taken as new again. */
const memoryMilliseconds = 10_000;
/** A later use of a prompt block is new if it is this much later than the known one. */
const minAdvanceMilliseconds = 1_000;
const maxNotices = 4_096;

interface QueuedNotice {
  readonly notice: FleetNotice;
  readonly addedAt: number;
  relays: number;
}

/** Notices of one kind that no message has held yet. */
export interface WaitingNotices {
  readonly count: number;
  /** When the oldest of them was added; undefined when there is none. */
  readonly oldestAddedAt: number | undefined;
}

/** Called with a notice that is dropped before any message held it. */
export type DroppedNoticeListener = (notice: FleetNotice) => void;

/** The notices that a daemon passes on, each in a limited number of messages. */
export class NoticeQueue {
  private readonly queuedByKey = new Map<string, QueuedNotice>();

  private constructor(private readonly onDropped: DroppedNoticeListener) {}

  /**
   * Creates an empty queue.
   * @param onDropped - Called with each notice that is dropped before any message held it.
   */
  static create(onDropped: DroppedNoticeListener = () => undefined): NoticeQueue {
    return new NoticeQueue(onDropped);
  }

  /**
   * Gets how many notices of a kind no message has held yet, and since when.
   * @param kind - Kind of the notices.
   */
  getWaiting(kind: FleetNotice["kind"]): WaitingNotices {
    const waiting = [...this.queuedByKey.values()].filter(
      ({ notice, relays }) => relays === 0 && notice.kind === kind,
    );
    return { count: waiting.length, oldestAddedAt: waiting[0]?.addedAt };
  }

  /**
   * Adds a notice that this daemon made or received.
   * @param notice - The notice.
   * @param now - Current time.
   * @returns False if it was known.
   */
  add(notice: FleetNotice, now: number): boolean {
    const key = getKey(notice);
    const known = this.queuedByKey.get(key);
    if (known !== undefined && !isNewer(notice, known.notice)) {
      return false;
    }
    // Maps keep insertion order, so deleting first keeps the oldest notice at the front.
    this.queuedByKey.delete(key);
    this.queuedByKey.set(key, { notice, addedAt: now, relays: 0 });
    this.dropOld(now);
    return true;
  }

  /**
   * Takes notices for one message; those that were passed on least come first.
   * @param count - Maximum number.
   */
  take(count: number): readonly FleetNotice[] {
    const due = [...this.queuedByKey.values()]
      .filter(({ relays }) => relays < maxRelays)
      .sort((a, b) => a.relays - b.relays)
      .slice(0, count);
    due.forEach((queued) => {
      queued.relays += 1;
    });
    return due.map(({ notice }) => notice);
  }

  private dropOld(now: number): void {
    for (const [key, { notice, addedAt, relays }] of this.queuedByKey) {
      if (now - addedAt < memoryMilliseconds && this.queuedByKey.size <= maxNotices) {
        return;
      }
      this.queuedByKey.delete(key);
      if (relays === 0) {
        this.onDropped(notice);
      }
    }
  }
}

function getKey(notice: FleetNotice): string {
  switch (notice.kind) {
    case "prefix":
      return `prefix ${String(notice.block)} ${String(notice.upstream)}`;
    case "leaving":
      return `leaving ${notice.id} ${String(notice.bornAt)}`;
    case "resting":
      return `resting ${notice.id}`;
    case "limit":
      return `limit ${notice.id}`;
    case "loss": {
      const { content, upstream, request } = notice;
      return `loss ${String(content)} ${String(upstream)} ${String(request)}`;
    }
    case "served":
    case "quarantine":
      return `${notice.kind} ${String(notice.content)}`;
  }
}

function isNewer(notice: FleetNotice, known: FleetNotice): boolean {
  if (notice.kind === "prefix" && known.kind === "prefix") {
    return notice.at > known.at + minAdvanceMilliseconds;
  }
  if (notice.kind === "served" && known.kind === "served") {
    return notice.at > known.at + minAdvanceMilliseconds;
  }
  if (notice.kind === "limit" && known.kind === "limit") {
    return notice.at > known.at && notice.perSecond !== known.perSecond;
  }
  if (notice.kind === "resting" && known.kind === "resting") {
    return notice.endsAt > known.endsAt + minAdvanceMilliseconds;
  }
  return false;
}
