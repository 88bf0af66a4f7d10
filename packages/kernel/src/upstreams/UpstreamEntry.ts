import { getHash, toFraction } from "../hashing/index.js";
import {
  consecutiveFailureLimit,
  excessFailureRate,
  firstAvoidanceMilliseconds,
  firstByteWeight,
  longestAvoidanceMilliseconds,
  outcomeWeight,
  recentlyAddedMilliseconds,
  reportedLoadLifetimeMilliseconds,
  responseTimeoutMilliseconds,
  sameReadMilliseconds,
  streamIdleTimeoutMilliseconds,
} from "./constants.js";
import type { Upstream } from "./schema.js";
import { UpstreamLimit } from "./UpstreamLimit.js";
import { UpstreamPath } from "./UpstreamPath.js";
import { UpstreamStart } from "./UpstreamStart.js";

/** Load that an upstream reported, with the requests that this daemon has sent to it since. */
export interface UpstreamReport {
  /** Requests that it holds, waiting ones included. */
  readonly load: number;
  /** Requests that waited there. */
  readonly waiting: number;
}

/** State that one daemon keeps of one upstream. Times are monotonic milliseconds. */
export class UpstreamEntry {
  /** Hash of the id, for rendezvous hashing. */
  readonly hash: number;
  /** The limit that it names on requests of all daemons. */
  readonly limit: UpstreamLimit;
  /** Bounds on what this daemon sends to it after it started or recovered. */
  readonly start: UpstreamStart;
  /** Requests that this daemon has in flight at the upstream. */
  running = 0;
  /** Requests that the other daemons have in flight at the upstream, as they last reported. */
  runningOnOtherDaemons = 0;
  /** When the record expired during a grace period; the upstream is used until that period ends. */
  expiredAt: number | undefined;
  /** True once this incarnation has announced that it leaves; it never takes requests again. */
  isLeaving = false;
  /** When this daemon learned that the upstream was restarted under its id, which loses what it had cached. */
  restartedAt = -Infinity;
  /** True while the zone of the upstream is evacuated. */
  isEvacuated = false;
  /** This daemon's own path to the upstream. */
  readonly path = UpstreamPath.create();
  private restEndsAt = -Infinity;
  private openStreams = 0;
  private reportedLoad = 0;
  private reportedWaiting = 0;
  private reportedAt = -Infinity;
  private sentSinceReport = 0;
  private lastReceivedAt = -Infinity;
  private failureRate = 0;
  private firstByteMilliseconds: number | undefined;
  private consecutiveFailures = 0;
  private avoidanceEndsAt = -Infinity;
  private avoidanceMilliseconds = firstAvoidanceMilliseconds;

  private constructor(
    public record: Upstream,
    private readonly addedAt: number,
    start: UpstreamStart | undefined,
  ) {
    this.hash = getHash(record.id);
    this.limit = UpstreamLimit.create(toFraction(this.hash));
    this.start = start ?? UpstreamStart.create(toFraction(this.hash));
  }

  /**
   * Creates an entry without history.
   * @param record - Record that the upstream published.
   * @param now - Monotonic time.
   * @param start - Bounds that were kept for an earlier incarnation, if one was known.
   */
  static create(record: Upstream, now: number, start?: UpstreamStart): UpstreamEntry {
    return new UpstreamEntry(record, now, start);
  }

  /** Checks whether the upstream was added a short while ago. */
  isRecentlyAdded(now: number): boolean {
    return now - this.addedAt < recentlyAddedMilliseconds;
  }

  /** Checks whether the upstream was added a while before another one, rather than at the same start of the daemon. */
  wasAddedBefore(other: UpstreamEntry): boolean {
    return other.addedAt - this.addedAt > sameReadMilliseconds;
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

  /** Gets the load that the upstream last reported, unless that was before a time. */
  getReportSince(time: number): UpstreamReport | undefined {
    return this.reportedAt < time
      ? undefined
      : { load: this.reportedLoad + this.sentSinceReport, waiting: this.reportedWaiting };
  }

  /** Counts a request that is being sent. */
  startRequest(now: number): void {
    if (this.running === 0) {
      this.lastReceivedAt = now;
    }
    this.running += 1;
    this.sentSinceReport += 1;
    this.path.recordSend();
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

  /** Records bytes from the upstream. */
  recordReceivedBytes(now: number): void {
    this.lastReceivedAt = now;
    this.path.recordReceivedBytes(now);
  }

  /** Gets the time without a byte that is too long for an upstream whose work is not known, in milliseconds. */
  getUsualSilenceLimit(): number {
    return this.openStreams > 0 ? streamIdleTimeoutMilliseconds : responseTimeoutMilliseconds;
  }

  /** Records that a connection has opened. */
  recordConnected(now: number): void {
    if (this.path.mayHaveRestarted()) {
      this.start.recordReturn(now);
    }
    this.path.recordConnected(now);
  }

  /** Checks whether the upstream holds requests and has sent nothing for a time. */
  isSilentFor(milliseconds: number, now: number): boolean {
    return this.running > 0 && now - this.lastReceivedAt > milliseconds;
  }

  /**
   * Avoids the upstream if it holds requests and has sent nothing for too long.
   * @param now - Current time.
   * @param limit - Time without a byte that is too long, in milliseconds.
   * @returns Whether the upstream counts as silent from now on; false when it already did.
   */
  avoidIfUnresponsive(now: number, limit = this.getUsualSilenceLimit()): boolean {
    if (!this.isSilentFor(limit, now) || this.path.isSilent()) {
      return false;
    }
    this.avoid(now);
    this.path.recordSilence(now);
    return true;
  }

  /**
   * Records the load that the upstream reported in a response.
   * @param load - Requests that it holds, waiting ones included.
   * @param now - Time of the response.
   * @param waiting - Those of them that wait.
   */
  recordReportedLoad(load: number, now: number, waiting = 0): void {
    this.reportedLoad = load;
    this.reportedWaiting = waiting;
    this.reportedAt = now;
    this.sentSinceReport = 0;
  }

  /** Records the time from the sending of a request to the first byte of its answer. */
  recordFirstByte(milliseconds: number): void {
    const known = this.firstByteMilliseconds ?? milliseconds;
    this.firstByteMilliseconds = known + (milliseconds - known) * firstByteWeight;
  }

  /** Gets the usual time to the first byte; undefined when the upstream has answered nothing yet. */
  getFirstByteMilliseconds(): number | undefined {
    return this.firstByteMilliseconds;
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
    if (this.path.getState() === "trial") {
      this.avoid(now);
    }
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
    this.start.recordAvoided(now);
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

  /** Checks whether new requests may be sent to the upstream: it is in service, and its zone is not evacuated. */
  isOffered(): boolean {
    return this.isInService() && !this.isEvacuated;
  }

  /** Gets the exponential moving average of failures, from 0 to 1. */
  getFailureRate(): number {
    return this.failureRate;
  }

  /** Checks whether new requests should be sent to another upstream if there is one. */
  isAvoided(now: number): boolean {
    const state = this.path.getState();
    return this.isAvoidedForFailures(now) || state === "closed" || state === "doubted";
  }

  /** Checks whether the upstream is avoided for what it did, rather than for the path to it. */
  isAvoidedForFailures(now: number): boolean {
    return this.avoidanceEndsAt > now;
  }
}
