import { getHash } from "../placement/hash.js";
import {
  excessFailureRate,
  consecutiveFailureLimit,
  firstAvoidanceMilliseconds,
  longestAvoidanceMilliseconds,
  outcomeWeight,
  probeIntervalMilliseconds,
  reportedLoadLifetimeMilliseconds,
  responseTimeoutMilliseconds,
  streamIdleTimeoutMilliseconds,
  recentlyAddedMilliseconds,
} from "./constants.js";
import type { Upstream } from "./schema.js";

/** What one daemon knows of one upstream. Times are monotonic milliseconds. */
export class UpstreamEntry {
  /** Hash of the id, for rendezvous. */
  readonly hash: number;
  /** Requests of this daemon in flight. */
  running = 0;
  /** Requests of the other daemons in flight, as they last told. */
  runningOnOtherDaemons = 0;
  /** When the entry lapsed while the registry was disturbed; it is used until then plus a grace. */
  expiredAt: number | undefined;
  private openStreams = 0;
  private isUnreachable = false;
  private probedAt = -Infinity;
  private reportedLoad = 0;
  private reportedAt = -Infinity;
  private sentSinceReport = 0;
  private lastReceivedAt = -Infinity;
  private failureRate = 0;
  private consecutiveFailures = 0;
  private avoidanceEndsAt = -Infinity;
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
  isRecentlyAdded(now: number): boolean {
    return now - this.addedAt < recentlyAddedMilliseconds;
  }

  /** Gets the best estimate of the requests that the upstream holds, waiting ones included. */
  getLoad(now: number): number {
    const counted = this.running + this.runningOnOtherDaemons;
    const isFresh = now - this.reportedAt < reportedLoadLifetimeMilliseconds;
    return isFresh ? Math.max(counted, this.reportedLoad + this.sentSinceReport) : counted;
  }

  /** Counts a request that is sent now. */
  startRequest(now: number): void {
    if (this.running === 0) {
      this.lastReceivedAt = now;
    }
    this.running += 1;
    this.sentSinceReport += 1;
  }

  /** Counts a stream that the upstream has begun. */
  startStream(): void {
    this.openStreams += 1;
  }

  /**
   * Counts the end of a request.
   * @param hadStream - Whether its answer had begun as a stream.
   */
  finishRequest(hadStream: boolean): void {
    this.running -= 1;
    this.openStreams -= hadStream ? 1 : 0;
  }

  /** Notes bytes from the upstream, which also show that it can be reached. */
  recordReceivedBytes(now: number): void {
    this.lastReceivedAt = now;
    this.isUnreachable = false;
  }

  /** Notes that no connection could be made; probes tell when one can. */
  markUnreachable(now: number): void {
    this.isUnreachable = true;
    this.probedAt = now;
  }

  /** Notes that a probe has connected. */
  markReachable(): void {
    this.isUnreachable = false;
  }

  /** Tells whether it is time to probe an upstream that could not be reached, and notes the probe. */
  startProbe(now: number): boolean {
    const isDue = this.isUnreachable && now - this.probedAt >= probeIntervalMilliseconds;
    this.probedAt = isDue ? now : this.probedAt;
    return isDue;
  }

  /**
   * Leaves an upstream alone that holds requests and sends nothing, and tells whether it does so.
   * @param now - Current time.
   */
  avoidIfUnresponsive(now: number): boolean {
    const limit =
      this.openStreams > 0 ? streamIdleTimeoutMilliseconds : responseTimeoutMilliseconds;
    const isUnresponsive = this.running > 0 && now - this.lastReceivedAt > limit;
    if (!isUnresponsive || this.isAvoided(now)) {
      return false;
    }
    this.avoid(now);
    this.markUnreachable(now);
    return true;
  }

  /** Takes the load that an answer reports. */
  recordReportedLoad(load: number, now: number): void {
    this.reportedLoad = load;
    this.reportedAt = now;
    this.sentSinceReport = 0;
  }

  /** Notes a request that was answered well. */
  recordSuccess(): void {
    this.consecutiveFailures = 0;
    this.failureRate *= 1 - outcomeWeight;
    if (this.failureRate < excessFailureRate / 2) {
      this.avoidanceMilliseconds = firstAvoidanceMilliseconds;
    }
  }

  /**
   * Notes a failure, and leaves the upstream alone for a while when it fails more than others.
   * @param now - Time of the failure.
   * @param medianRate - Failure rate of its service.
   */
  recordFailure(now: number, medianRate: number): void {
    this.consecutiveFailures += 1;
    this.failureRate += (1 - this.failureRate) * outcomeWeight;
    const isAboveMedian = this.failureRate > medianRate + excessFailureRate;
    if (
      isAboveMedian ||
      (this.consecutiveFailures >= consecutiveFailureLimit && medianRate < excessFailureRate)
    ) {
      this.avoid(now);
    }
  }

  /** Leaves the upstream alone at once, for example because it could not be reached. */
  avoid(now: number): void {
    if (this.avoidanceEndsAt > now) {
      return;
    }
    this.avoidanceEndsAt = now + this.avoidanceMilliseconds;
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
    return this.avoidanceEndsAt > now || this.isUnreachable;
  }
}
