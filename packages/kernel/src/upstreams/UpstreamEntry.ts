import { getHash } from "../placement/hash.js";
import {
  excessFailureRate,
  failuresInRow,
  firstAvoidanceMilliseconds,
  longestAvoidanceMilliseconds,
  outcomeWeight,
  reportedLoadMilliseconds,
  silenceMilliseconds,
} from "./constants.js";
import type { Upstream } from "./schema.js";

/** What one daemon knows of one upstream. Times are monotonic milliseconds. */
export class UpstreamEntry {
  /** Hash of the id, for rendezvous. */
  readonly hash: number;
  /** Requests of this daemon in flight. */
  running = 0;
  /** Requests of the other daemons in flight, as they last told. */
  runningElsewhere = 0;
  /** When the entry lapsed while the registry was disturbed; it is used until then plus a grace. */
  lapsedAt: number | undefined;
  private reported = 0;
  private reportedAt = -Infinity;
  private sentSinceReport = 0;
  private lastHeardAt = -Infinity;
  private failureRate = 0;
  private failuresInRow = 0;
  private avoidedUntil = -Infinity;
  private avoidanceMilliseconds = firstAvoidanceMilliseconds;

  private constructor(public record: Upstream) {
    this.hash = getHash(record.id);
  }

  /**
   * Creates an entry without history.
   * @param record - What the upstream says of itself.
   */
  static create(record: Upstream): UpstreamEntry {
    return new UpstreamEntry(record);
  }

  /** Gets the best estimate of the requests that the upstream holds, waiting ones included. */
  getLoad(now: number): number {
    const counted = this.running + this.runningElsewhere;
    const isFresh = now - this.reportedAt < reportedLoadMilliseconds;
    return isFresh ? Math.max(counted, this.reported + this.sentSinceReport) : counted;
  }

  /** Counts a request that is sent now. */
  start(now: number): void {
    if (this.running === 0) {
      this.lastHeardAt = now;
    }
    this.running += 1;
    this.sentSinceReport += 1;
  }

  /** Counts the end of a request. */
  finish(): void {
    this.running -= 1;
  }

  /** Notes bytes from the upstream. */
  hear(now: number): void {
    this.lastHeardAt = now;
  }

  /** Takes the load that an answer reports. */
  report(load: number, now: number): void {
    this.reported = load;
    this.reportedAt = now;
    this.sentSinceReport = 0;
  }

  /** Notes a request that was answered well. */
  succeed(): void {
    this.failuresInRow = 0;
    this.failureRate *= 1 - outcomeWeight;
    if (this.failureRate < excessFailureRate / 2) {
      this.avoidanceMilliseconds = firstAvoidanceMilliseconds;
    }
  }

  /**
   * Notes a failure, and leaves the upstream alone for a while when it fails more than others.
   * @param now - Time of the failure.
   * @param usualRate - Failure rate of its service.
   */
  fail(now: number, usualRate: number): void {
    this.failuresInRow += 1;
    this.failureRate += (1 - this.failureRate) * outcomeWeight;
    const fails = this.failureRate > usualRate + excessFailureRate;
    if (fails || (this.failuresInRow >= failuresInRow && usualRate < excessFailureRate)) {
      this.avoid(now);
    }
  }

  /** Leaves the upstream alone at once, for example because it could not be reached. */
  avoid(now: number): void {
    if (this.avoidedUntil > now) {
      return;
    }
    this.avoidedUntil = now + this.avoidanceMilliseconds;
    this.avoidanceMilliseconds = Math.min(
      this.avoidanceMilliseconds * 2,
      longestAvoidanceMilliseconds,
    );
  }

  getFailureRate(): number {
    return this.failureRate;
  }

  /** Tells whether the upstream holds requests and has sent nothing for long. */
  isSilent(now: number): boolean {
    return this.running > 0 && now - this.lastHeardAt > silenceMilliseconds;
  }

  /** Tells whether new requests should go elsewhere, if there is an elsewhere. */
  isAvoided(now: number): boolean {
    return this.avoidedUntil > now || this.isSilent(now);
  }
}
