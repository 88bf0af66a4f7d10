import { getHash } from "../hashing/index.js";
import {
  consecutiveFailureLimit,
  excessFailureRate,
  firstAvoidanceMilliseconds,
  longestAvoidanceMilliseconds,
  outcomeWeight,
  probeIntervalMilliseconds,
  recentlyAddedMilliseconds,
  reportedLoadLifetimeMilliseconds,
  responseTimeoutMilliseconds,
  streamIdleTimeoutMilliseconds,
} from "./constants.js";
import type { Upstream } from "./schema.js";
import { UpstreamLimit } from "./UpstreamLimit.js";

/** State that one daemon keeps of one upstream. Times are monotonic milliseconds. */
export class UpstreamEntry {
  /** Hash of the id, for rendezvous hashing. */
  readonly hash: number;
  /** Requests that this daemon has in flight at the upstream. */
  running = 0;
  /** Requests that the other daemons have in flight at the upstream, as they last reported. */
  runningOnOtherDaemons = 0;
  /** When the record expired during a grace period; the upstream is used until that period ends. */
  expiredAt: number | undefined;
  /** True once this incarnation has announced that it leaves; it never takes requests again. */
  isLeaving = false;
  private restEndsAt = -Infinity;
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
    /** The limit that it names on requests of all daemons. */
    readonly limit: UpstreamLimit,
  ) {
    this.hash = getHash(record.id);
  }

  /**
   * Creates an entry without history.
   * @param record - Record that the upstream published.
   * @param now - Monotonic time.
   * @param phase - Phase of this daemon's slots when the upstream names a limit, in [0, 1).
   */
  static create(record: Upstream, now: number, phase = 0): UpstreamEntry {
    return new UpstreamEntry(record, now, UpstreamLimit.create(phase));
  }

  /** Checks whether the upstream was added a short while ago. */
  isRecentlyAdded(now: number): boolean {
    return now - this.addedAt < recentlyAddedMilliseconds;
  }

  /**
   * Gets an estimate of the requests that the upstream holds, waiting ones included: the larger of
   * the daemons' counts and a recent report of the upstream plus the requests sent since.
   */
  getLoad(now: number): number {
    const counted = this.running + this.runningOnOtherDaemons;
    const isFresh = now - this.reportedAt < reportedLoadLifetimeMilliseconds;
    return isFresh ? Math.max(counted, this.reportedLoad + this.sentSinceReport) : counted;
  }

  /** Counts a request that is being sent. */
  startRequest(now: number): void {
    if (this.running === 0) {
      this.lastReceivedAt = now;
    }
    this.running += 1;
    this.sentSinceReport += 1;
  }

  /** Counts a response stream that the upstream has started. */
  startStream(): void {
    this.openStreams += 1;
  }

  /**
   * Counts the end of a request.
   * @param hadStream - Whether its response had started as a stream.
   */
  finishRequest(hadStream: boolean): void {
    this.running -= 1;
    this.openStreams -= hadStream ? 1 : 0;
  }

  /** Records bytes from the upstream, which also prove that it can be reached. */
  recordReceivedBytes(now: number): void {
    this.lastReceivedAt = now;
    this.isUnreachable = false;
  }

  /** Records that the upstream cannot be reached, until bytes arrive or a probe connects. */
  markUnreachable(now: number): void {
    this.isUnreachable = true;
    this.probedAt = now;
  }

  /** Records that a probe has connected. */
  markReachable(): void {
    this.isUnreachable = false;
  }

  /** Checks whether a probe of an unreachable upstream is due, and records its start. */
  startProbe(now: number): boolean {
    const isDue =
      this.isUnreachable &&
      !this.isResting(now) &&
      now - this.probedAt >= probeIntervalMilliseconds;
    this.probedAt = isDue ? now : this.probedAt;
    return isDue;
  }

  /**
   * Avoids the upstream if it holds requests and has sent nothing for too long.
   * @param now - Current time.
   * @returns Whether the upstream is avoided from now on; false when it already was.
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

  /** Records the load that the upstream reported in a response. */
  recordReportedLoad(load: number, now: number): void {
    this.reportedLoad = load;
    this.reportedAt = now;
    this.sentSinceReport = 0;
  }

  /** Records a request that succeeded. */
  recordSuccess(): void {
    this.consecutiveFailures = 0;
    this.failureRate *= 1 - outcomeWeight;
    if (this.failureRate < excessFailureRate / 2) {
      this.avoidanceMilliseconds = firstAvoidanceMilliseconds;
    }
  }

  /**
   * Records a failure, and avoids the upstream for a while if it fails more often than others.
   * @param now - Time of the failure.
   * @param medianRate - Median failure rate of the other upstreams of its service.
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

  /** Avoids the upstream from now on, for a time that doubles up to a maximum. */
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

  /**
   * Avoids the upstream at least until a time, because it has asked another daemon for a rest.
   * @param endsAt - End of that rest.
   */
  avoidUntil(endsAt: number): void {
    this.avoidanceEndsAt = Math.max(this.avoidanceEndsAt, endsAt);
  }

  /**
   * Sends the upstream nothing until a time, because it has asked this daemon for a rest.
   * @param endsAt - End of the rest.
   */
  rest(endsAt: number): void {
    this.restEndsAt = Math.max(this.restEndsAt, endsAt);
  }

  /** Checks whether the upstream has asked this daemon for no requests until a later time. */
  isResting(now: number): boolean {
    return this.restEndsAt > now;
  }

  /** Gets the end of the last rest that the upstream has asked for. */
  getRestEnd(): number {
    return this.restEndsAt;
  }

  /** Checks whether the upstream is in service, whatever its health and load. */
  isInService(): boolean {
    return this.record.state === "ready" && !this.isLeaving;
  }

  /** Gets the exponential moving average of failures, from 0 to 1. */
  getFailureRate(): number {
    return this.failureRate;
  }

  /** Checks whether new requests should be sent to another upstream if there is one. */
  isAvoided(now: number): boolean {
    return this.avoidanceEndsAt > now || this.isUnreachable;
  }
}
