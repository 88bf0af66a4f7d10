import { reportedLoadLifetimeMilliseconds } from "../upstreams/constants.js";
import {
  givenUpLifetimeMilliseconds,
  largestSlowdown,
  latenessLifetimeMilliseconds,
  slowdownLifetimeMilliseconds,
  smallestSlowdown,
} from "./constants.js";
import type { ReadingEstimate } from "./ReadingSpeed.js";
import type { RequestWork } from "./RequestWork.js";

/** A request that waits for its first byte at an upstream. */
export interface WaitingRequest {
  readonly sentAt: number;
  /** Time to its first byte that was expected when it was sent; undefined when that was not known. */
  readonly expectedMilliseconds: number | undefined;
  /** Whether no other request of this daemon waited there when it was sent. */
  readonly isAlone: boolean;
  /** Slowdown that was reported shortly before it was sent. */
  readonly slowdown: number | undefined;
}

/** What a daemon knows of the work that one upstream holds. Times are monotonic milliseconds. */
export class UpstreamWork {
  private readonly waiting = new Map<RequestWork, WaitingRequest>();
  /** When the first of the waiting requests was sent, or the last first byte before it came. */
  private readingSince = -Infinity;
  private slowdown = 1;
  private slowdownAt = -Infinity;
  private reportedWaiting = 0;
  private reportedAt = -Infinity;
  private lateMilliseconds = 0;
  private answeredAt = -Infinity;
  /** Time for which it held requests that were given up, since it last sent bytes. */
  private givenUpMilliseconds = 0;
  private givenUpAt = -Infinity;

  private constructor() {
    // Created through the static method.
  }

  /** Creates the work of an upstream that holds none. */
  static create(): UpstreamWork {
    return new UpstreamWork();
  }

  /**
   * Records what the upstream reported.
   * @param waiting - Requests of all daemons that wait there.
   * @param slowdown - Slowdown of its host; undefined when it told none.
   * @param now - Time of the report.
   */
  recordReport(waiting: number, slowdown: number | undefined, now: number): void {
    this.reportedWaiting = waiting;
    this.reportedAt = now;
    if (isSlowdown(slowdown)) {
      this.slowdown = slowdown;
      this.slowdownAt = now;
    }
  }

  /** Adds a request that is sent. */
  start(work: RequestWork, expectedMilliseconds: number | undefined, now: number): void {
    const isAlone = this.waiting.size === 0;
    if (isAlone) {
      this.readingSince = now;
    }
    const slowdown = this.getFreshSlowdown(now);
    this.waiting.set(work, { sentAt: now, expectedMilliseconds, isAlone, slowdown });
  }

  /**
   * Removes a request that was given up.
   * @param work - Its work.
   * @param receivedAt - When bytes of the upstream last came.
   * @param now - Current time.
   */
  giveUp(work: RequestWork, receivedAt: number, now: number): void {
    const request = this.remove(work);
    if (request !== undefined) {
      const held = now - Math.max(request.sentAt, receivedAt, this.givenUpAt);
      this.givenUpMilliseconds = this.getGivenUpMilliseconds(receivedAt, now) + held;
      this.givenUpAt = now;
    }
  }

  /**
   * Gets the time for which it held requests that were given up without any byte from it.
   * @param receivedAt - When bytes of the upstream last came.
   * @param now - Current time.
   */
  getGivenUpMilliseconds(receivedAt: number, now: number): number {
    const isOld = now - this.givenUpAt >= givenUpLifetimeMilliseconds;
    return isOld || receivedAt > this.givenUpAt ? 0 : this.givenUpMilliseconds;
  }

  /** Removes a request that no longer waits, and gets it; undefined when it did not wait. */
  remove(work: RequestWork): WaitingRequest | undefined {
    const request = this.waiting.get(work);
    this.waiting.delete(work);
    return request;
  }

  /**
   * Records that the first byte of a request came, which was removed.
   * @returns By how much it came later than expected; undefined when that is not known.
   */
  recordFirstByte(
    { sentAt, expectedMilliseconds }: WaitingRequest,
    now: number,
  ): number | undefined {
    this.readingSince = now;
    if (expectedMilliseconds === undefined) {
      return undefined;
    }
    this.lateMilliseconds = Math.max(0, now - sentAt - expectedMilliseconds);
    this.answeredAt = now;
    return this.lateMilliseconds;
  }

  /** Gets a request that waits. */
  getWaiting(work: RequestWork): WaitingRequest | undefined {
    return this.waiting.get(work);
  }

  /** Gets the reported slowdown; undefined when the report is stale. */
  getFreshSlowdown(now: number): number | undefined {
    return now - this.slowdownAt < slowdownLifetimeMilliseconds ? this.slowdown : undefined;
  }

  /** Gets the reading time of the requests that wait, from their sending to the last first byte. */
  getHeldMilliseconds(estimate: ReadingEstimate, meanTokens: number, now: number): number {
    if (this.waiting.size === 0) {
      return 0;
    }
    const tokens = this.sumUnreadTokens() + this.countOthersWaiting(now) * meanTokens;
    return this.getMilliseconds(tokens, estimate, now);
  }

  /** Gets the time until the first byte of a further request. */
  getExpectedMilliseconds(
    unreadTokens: number,
    estimate: ReadingEstimate,
    meanTokens: number,
    now: number,
  ): number {
    const othersTokens = this.countOthersWaiting(now) * meanTokens;
    const added = this.getMilliseconds(unreadTokens + othersTokens, estimate, now);
    return this.getRestMilliseconds(estimate, now) + added;
  }

  /** Gets how late the last first byte came or the next is; undefined when nothing recent tells. */
  getLateMilliseconds(now: number): number | undefined {
    const isRecent = now - this.answeredAt < latenessLifetimeMilliseconds;
    const overdue = [...this.waiting.values()]
      .map(({ sentAt, expectedMilliseconds = Infinity }) => now - sentAt - expectedMilliseconds)
      .filter((milliseconds) => milliseconds > 0);
    const known = isRecent ? [...overdue, this.lateMilliseconds] : overdue;
    return known.length === 0 ? undefined : Math.max(...known);
  }

  /** Checks whether nothing waits and no recent first byte tells of the service's lateness. */
  isIdle(now: number): boolean {
    return this.waiting.size === 0 && now - this.answeredAt >= latenessLifetimeMilliseconds;
  }

  /** Gets the time that the waiting requests still take; where they are overdue, the time by which they are. */
  private getRestMilliseconds(estimate: ReadingEstimate, now: number): number {
    if (this.waiting.size === 0) {
      return 0;
    }
    const total = this.getMilliseconds(this.sumUnreadTokens(), estimate, now);
    return Math.abs(total - (now - this.readingSince));
  }

  private getMilliseconds(
    tokens: number,
    { fixedMilliseconds, millisecondsPerToken }: ReadingEstimate,
    now: number,
  ): number {
    const slowdown = this.getFreshSlowdown(now) ?? 1;
    return (fixedMilliseconds + tokens * millisecondsPerToken) * slowdown;
  }

  private sumUnreadTokens(): number {
    return [...this.waiting.keys()].reduce((sum, { unreadTokens }) => sum + unreadTokens, 0);
  }

  /** Counts the reported requests that wait and are not this daemon's. */
  private countOthersWaiting(now: number): number {
    if (now - this.reportedAt >= reportedLoadLifetimeMilliseconds) {
      return 0;
    }
    const own = [...this.waiting.values()].filter(({ sentAt }) => sentAt < this.reportedAt).length;
    return Math.max(0, this.reportedWaiting - own);
  }
}

/** Checks whether a reported slowdown can be true. */
export function isSlowdown(value: number | undefined): value is number {
  return value !== undefined && value >= smallestSlowdown && value <= largestSlowdown;
}
