import type { FleetNotice } from "./messages.js";
import { getNoticeBytes } from "./noticeBytes.js";
import { getNoticeKey, isNewerNotice } from "./noticeIdentity.js";

/** Time for which a notice is remembered, so that it is not taken as new again. */
const memoryMilliseconds = 10_000;
/** Notices made within the same time are equally urgent; those made later come first. */
const recencyMilliseconds = 500;
const maxNotices = 4_096;
/** Part of a message for notices that no message has held yet. */
const waitingRatio = 0.25;

/** Notices that no message has held yet. */
export interface WaitingNotices {
  readonly count: number;
  /** When the oldest of them was added; undefined when there is none. */
  readonly oldestAddedAt: number | undefined;
}

/** What a lane depends on. */
export interface NoticeLaneOptions {
  /** Number of messages in which each daemon passes a notice on. */
  readonly maxRelays: number;
  /** Gets a random number in [0, 1). */
  readonly getRandom: () => number;
  /** Called with each notice that is dropped before any message held it. */
  readonly onDropped: (notice: FleetNotice) => void;
}

interface QueuedNotice {
  readonly notice: FleetNotice;
  readonly addedAt: number;
  /** When the notice was made, rounded down: for a loss when it happened, so that it is as urgent everywhere. */
  readonly recency: number;
  /** A random number, so that the daemons do not all pass on the same ones first. */
  readonly order: number;
  relays: number;
}

/** Notices of the same priority that a daemon passes on, each in a limited number of messages. */
export class NoticeLane {
  private readonly queuedByKey = new Map<string, QueuedNotice>();
  /** Notices that are still passed on, a part of the remembered ones, by when they were made. */
  private readonly dueByRecency = new Map<number, Set<QueuedNotice>>();
  /** Notices that no message has held yet, a part of those that are still passed on; the oldest is first. */
  private readonly waiting = new Set<QueuedNotice>();

  private constructor(private readonly options: NoticeLaneOptions) {}

  /**
   * Creates an empty lane.
   * @param options - What it depends on.
   */
  static create(options: NoticeLaneOptions): NoticeLane {
    return new NoticeLane(options);
  }

  /**
   * Adds a notice that this daemon made or received.
   * @param notice - The notice.
   * @param now - Current time.
   * @returns False if it was known.
   */
  add(notice: FleetNotice, now: number): boolean {
    const key = getNoticeKey(notice);
    const known = this.queuedByKey.get(key);
    if (known !== undefined && !isNewerNotice(notice, known.notice)) {
      return false;
    }
    if (known !== undefined) {
      // Maps keep insertion order, so deleting first keeps the oldest notice at the front.
      this.queuedByKey.delete(key);
      this.stopPassingOn(known);
    }
    const madeAt = notice.kind === "loss" ? Math.min(notice.at, now) : now;
    const recency = Math.floor(madeAt / recencyMilliseconds);
    const queued = { notice, addedAt: now, recency, order: this.options.getRandom(), relays: 0 };
    this.queuedByKey.set(key, queued);
    this.addDue(queued);
    this.waiting.add(queued);
    this.dropOld(now);
    return true;
  }

  /**
   * Takes notices for one message. Those that were made last come first, of them those that were passed on least,
   * and else in random order, so that the daemons do not all pass on the same ones. A part of the message is for
   * notices that no message has held, however old they are.
   * @param maxBytes - Estimated size that all of them have at most.
   */
  take(maxBytes: number): readonly FleetNotice[] {
    const first = takeWhileFits(this.waiting, maxBytes * waitingRatio);
    const others = this.getOrdered(first);
    const taken = [...first, ...takeWhileFits(others, maxBytes - getBytes(first))];
    taken.forEach((queued) => {
      this.countRelay(queued);
    });
    return taken.map(({ notice }) => notice);
  }

  /** Gets when the first of the notices was added that no message has held; undefined when there is none. */
  getOldestWaitingAt(): number | undefined {
    const [oldest] = this.waiting;
    return oldest?.addedAt;
  }

  /**
   * Gets how many notices of a kind no message has held yet, and since when.
   * @param kind - Kind of the notices.
   */
  getWaiting(kind: FleetNotice["kind"]): WaitingNotices {
    const waiting = [...this.waiting].filter(({ notice }) => notice.kind === kind);
    return { count: waiting.length, oldestAddedAt: waiting[0]?.addedAt };
  }

  /** Checks whether no notice is passed on any longer. */
  isEmpty(): boolean {
    return this.dueByRecency.size === 0;
  }

  /** Gets the notices that are passed on, but for some, in the order in which they are. */
  private *getOrdered(taken: ReadonlySet<QueuedNotice>): Iterable<QueuedNotice> {
    const recencies = [...this.dueByRecency.keys()].sort((a, b) => b - a);
    for (const recency of recencies) {
      const due = [...(this.dueByRecency.get(recency) ?? [])];
      yield* due.filter((queued) => !taken.has(queued)).sort(compare);
    }
  }

  private addDue(queued: QueuedNotice): void {
    const due = this.dueByRecency.get(queued.recency) ?? new Set();
    due.add(queued);
    this.dueByRecency.set(queued.recency, due);
  }

  private countRelay(queued: QueuedNotice): void {
    queued.relays += 1;
    this.waiting.delete(queued);
    if (queued.relays >= this.options.maxRelays) {
      this.stopPassingOn(queued);
    }
  }

  private stopPassingOn(queued: QueuedNotice): void {
    this.waiting.delete(queued);
    const due = this.dueByRecency.get(queued.recency);
    due?.delete(queued);
    if (due?.size === 0) {
      this.dueByRecency.delete(queued.recency);
    }
  }

  private dropOld(now: number): void {
    for (const [key, queued] of this.queuedByKey) {
      const isRemembered = now - queued.addedAt < memoryMilliseconds;
      if (isRemembered && this.queuedByKey.size <= maxNotices) {
        return;
      }
      this.queuedByKey.delete(key);
      this.stopPassingOn(queued);
      if (queued.relays === 0) {
        this.options.onDropped(queued.notice);
      }
    }
  }
}

function compare(a: QueuedNotice, b: QueuedNotice): number {
  return a.relays - b.relays || a.order - b.order;
}

/** Gets the first notices that fit into a number of bytes. */
function takeWhileFits(ordered: Iterable<QueuedNotice>, maxBytes: number): Set<QueuedNotice> {
  const taken = new Set<QueuedNotice>();
  let bytes = 0;
  for (const queued of ordered) {
    bytes += getNoticeBytes([queued.notice]);
    if (bytes > maxBytes) {
      break;
    }
    taken.add(queued);
  }
  return taken;
}

function getBytes(queued: Iterable<QueuedNotice>): number {
  return getNoticeBytes(Array.from(queued, ({ notice }) => notice));
}
