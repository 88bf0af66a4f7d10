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

/** The notices that a daemon passes on, each in a limited number of messages. */
export class NoticeQueue {
  private readonly queuedByKey = new Map<string, QueuedNotice>();

  private constructor() {
    // Created through the static method.
  }

  /** Creates an empty queue. */
  static create(): NoticeQueue {
    return new NoticeQueue();
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
    for (const [key, { addedAt }] of this.queuedByKey) {
      if (now - addedAt < memoryMilliseconds && this.queuedByKey.size <= maxNotices) {
        return;
      }
      this.queuedByKey.delete(key);
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
