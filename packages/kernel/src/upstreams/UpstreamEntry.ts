import { getHash } from "../placement/hash.js";
import {
  excessFailureRate,
  failuresInRow,
  firstAvoidanceMilliseconds,
  longestAvoidanceMilliseconds,
  outcomeWeight,
  probeMilliseconds,
  reportedLoadMilliseconds,
  startSilenceMilliseconds,
  streamSilenceMilliseconds,
  youngMilliseconds,
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
  private answering = 0;
  private isUnreachable = false;
  private probedAt = -Infinity;
  private reported = 0;
  private reportedAt = -Infinity;
  private sentSinceReport = 0;
  private lastHeardAt = -Infinity;
  private failureRate = 0;
  private failuresInRow = 0;
  private avoidedUntil = -Infinity;
  private avoidanceMilliseconds = firstAvoidanceMilliseconds;

  private constructor(
    public record: Upstream,
    private readonly addedAt: number,
  ) {
    this.hash = getHash(record.id);
  }

  /**
   * Creates an entry without history.
   * @param record - What the upstream says of itself.
   * @param now - Monotonic time.
   */
  static create(record: Upstream, now: number): UpstreamEntry {
    return new UpstreamEntry(record, now);
  }

  /** Tells whether the upstream was added a short while ago. */
  isYoung(now: number): boolean {
    return now - this.addedAt < youngMilliseconds;
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

  /** Counts a stream that the upstream has begun. */
  beginAnswer(): void {
    this.answering += 1;
  }

  /**
   * Counts the end of a request.
   * @param hasBegun - Whether its answer had begun as a stream.
   */
  finish(hasBegun: boolean): void {
    this.running -= 1;
    this.answering -= hasBegun ? 1 : 0;
  }

  /** Notes bytes from the upstream, which also show that it can be reached. */
  hear(now: number): void {
    this.lastHeardAt = now;
    this.isUnreachable = false;
  }

  /** Notes that no connection could be made; probes tell when one can. */
  loseReach(now: number): void {
    this.isUnreachable = true;
    this.probedAt = now;
  }

  /** Notes that a probe has connected. */
  regainReach(): void {
    this.isUnreachable = false;
  }

  /** Tells whether it is time to probe an upstream that could not be reached, and notes the probe. */
  startProbe(now: number): boolean {
    const isDue = this.isUnreachable && now - this.probedAt >= probeMilliseconds;
    this.probedAt = isDue ? now : this.probedAt;
    return isDue;
  }

  /**
   * Leaves an upstream alone that holds requests and sends nothing, and tells whether it does so.
   * @param now - Current time.
   */
  judgeSilence(now: number): boolean {
    const limit = this.answering > 0 ? streamSilenceMilliseconds : startSilenceMilliseconds;
    const isSilent = this.running > 0 && now - this.lastHeardAt > limit;
    if (!isSilent || this.isAvoided(now)) {
      return false;
    }
    this.avoid(now);
    this.loseReach(now);
    return true;
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

  /** Gets the moving share of requests that failed, from 0 to 1. */
  getFailureRate(): number {
    return this.failureRate;
  }

  /** Tells whether new requests should go elsewhere, if there is an elsewhere. */
  isAvoided(now: number): boolean {
    return this.avoidedUntil > now || this.isUnreachable;
  }
}
