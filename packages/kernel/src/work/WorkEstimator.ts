import type { ReportedLoad } from "../forwarding/index.js";
import type { UpstreamEntry } from "../upstreams/index.js";
import {
  assumedMillisecondsPerToken,
  assumedQueuedRequests,
  firstFixedMilliseconds,
  longestExpectedMilliseconds,
  silenceRatio,
  steadySlowdownRatio,
  unknownRepeatMilliseconds,
  unknownSilenceRatio,
} from "./constants.js";
import type { ReadingEstimate } from "./ReadingSpeed.js";
import type { RequestWork } from "./RequestWork.js";
import { ServiceWork } from "./ServiceWork.js";
import { isSlowdown, UpstreamWork, type WaitingRequest } from "./UpstreamWork.js";

/** A request at an upstream. */
export interface PlacedWork {
  readonly entry: UpstreamEntry;
  readonly work: RequestWork;
}

/** What is known of a work-aware service, for operators. */
export interface ServiceEstimate {
  readonly service: string;
  /** Undefined until the reading speed is known. */
  readonly reading: ReadingEstimate | undefined;
  /** Time by which first bytes are later than expected at the moment. */
  readonly lateMilliseconds: number;
}

/** Estimates how long engines take for the work that they hold. Times are monotonic milliseconds. */
export class WorkEstimator {
  private readonly services = new Map<string, ServiceWork>();
  private readonly upstreams = new WeakMap<UpstreamEntry, UpstreamWork>();

  private constructor() {
    // Created through the static method.
  }

  /** Creates an estimator that knows no service. */
  static create(): WorkEstimator {
    return new WorkEstimator();
  }

  /**
   * Makes a service work-aware whether its upstreams tell their slowdown or not; without it, hosts count as usual.
   * @param service - Name of the service.
   */
  enable(service: string): void {
    this.getService(service).isWorkAware = true;
  }

  /**
   * Checks whether the upstreams of a service tell how long work takes on their hosts, or the service was enabled.
   * @param service - Name of the service.
   */
  isWorkAware(service: string): boolean {
    return this.services.get(service)?.isWorkAware === true;
  }

  /**
   * Gets the time from the sending of a request until its first byte; undefined while it cannot be estimated.
   * @param entry - Upstream that it would be sent to.
   * @param work - Work of the request there.
   * @param now - Current time.
   */
  getExpectedMilliseconds(
    entry: UpstreamEntry,
    work: RequestWork,
    now: number,
  ): number | undefined {
    const service = this.services.get(entry.record.service);
    const estimate = service?.speed.getEstimate();
    if (service?.isWorkAware !== true || estimate === undefined) {
      return undefined;
    }
    const upstream = this.getUpstream(entry);
    const expected = upstream.getExpectedMilliseconds(
      work.unreadTokens,
      estimate,
      service.getMeanTokens(),
      now,
    );
    // An upstream that left requests unanswered does not look idle because they were repeated elsewhere.
    const givenUp = upstream.getGivenUpMilliseconds(entry.path.getReceivedAt(), now);
    return Math.min(longestExpectedMilliseconds, expected + givenUp);
  }

  /**
   * Records that a request is sent. The object that holds its work identifies it until `endWork`.
   * @param entry - Upstream that it is sent to.
   * @param work - Its work there.
   * @param now - Current time.
   */
  startWork(entry: UpstreamEntry, work: RequestWork, now: number): void {
    const expected = this.getExpectedMilliseconds(entry, work, now);
    const upstream = this.getUpstream(entry);
    upstream.start(work, expected, now);
    this.getService(entry.record.service).recordStart(upstream, work.unreadTokens);
  }

  /**
   * Records the first byte of an answer, after the load that came with it.
   * @param entry - Upstream that sent it.
   * @param work - Work of the request.
   * @param now - Current time.
   */
  recordFirstByte(entry: UpstreamEntry, work: RequestWork, now: number): void {
    const upstream = this.getUpstream(entry);
    const request = upstream.remove(work);
    if (request === undefined) {
      return;
    }
    const service = this.getService(entry.record.service);
    const late = upstream.recordFirstByte(request, now);
    if (late !== undefined) {
      service.recordLateness(late, now);
    }
    const slowdown = upstream.getFreshSlowdown(now) ?? 1;
    if (request.isAlone && isSteady(request, slowdown)) {
      service.speed.addSample(work.unreadTokens, (now - request.sentAt) / slowdown);
    }
  }

  /**
   * Records that a request no longer waits for its first byte, for whatever reason.
   * @param entry - Upstream that it was sent to.
   * @param work - Work of the request.
   * @param now - Current time.
   */
  endWork(entry: UpstreamEntry, work: RequestWork, now: number): void {
    this.getUpstream(entry).giveUp(work, entry.path.getReceivedAt(), now);
  }

  /**
   * Records the load that an upstream reported.
   * @param entry - The upstream.
   * @param load - Its report.
   * @param now - Current time.
   */
  recordReport(entry: UpstreamEntry, { waiting, slowdown }: ReportedLoad, now: number): void {
    this.getUpstream(entry).recordReport(waiting, slowdown, now);
    if (isSlowdown(slowdown)) {
      this.getService(entry.record.service).isWorkAware = true;
    }
  }

  /**
   * Gets the time without a byte after which an upstream that holds requests is silent; undefined when its service is not
   * work-aware, so that only the fixed bounds apply.
   * @param entry - The upstream.
   * @param now - Current time.
   */
  getSilenceLimit(entry: UpstreamEntry, now: number): number | undefined {
    const service = this.services.get(entry.record.service);
    if (service?.isWorkAware !== true) {
      return undefined;
    }
    const usual = entry.getUsualSilenceLimit();
    const known = service.speed.getEstimate();
    const longest = known === undefined ? usual * unknownSilenceRatio : longestExpectedMilliseconds;
    const upstream = this.getUpstream(entry);
    const limit = silenceRatio * getSilenceAllowance(service, upstream, now);
    // Requests that were repeated elsewhere before the bound do not hide an upstream that never answers.
    const givenUp = upstream.getGivenUpMilliseconds(entry.path.getReceivedAt(), now);
    return Math.max(usual, Math.min(longest, limit) - givenUp);
  }

  /**
   * Checks whether a request that waits for its first byte would be answered sooner, and in time, if it were sent to another
   * upstream. Services that are not work-aware leave that to the fixed limits.
   * @param current - The request at the upstream that holds it.
   * @param next - The request at the upstream that it would be sent to; undefined without one.
   * @param deadline - Time by which the caller must have its answer.
   * @param now - Current time.
   */
  isRepeatSooner(
    { entry, work }: PlacedWork,
    next: PlacedWork | undefined,
    deadline: number,
    now: number,
  ): boolean {
    const service = this.services.get(entry.record.service);
    if (service?.isWorkAware !== true) {
      return true;
    }
    const upstream = this.getUpstream(entry);
    const request = upstream.getWaiting(work);
    if (next === undefined || request === undefined) {
      return false;
    }
    const isLost = entry.path.isSilent() || entry.path.getState() === "closed";
    const expectedNext = this.getExpectedMilliseconds(next.entry, next.work, now);
    const waited = now - request.sentAt;
    if (expectedNext === undefined) {
      return isLost || waited > unknownRepeatMilliseconds;
    }
    const late = service.getLateMilliseconds(upstream, now);
    const arrival = expectedNext + late;
    if (now + arrival > deadline) {
      return false;
    }
    // A request that is overdue by some time is expected to take that time once more.
    const expected = (request.expectedMilliseconds ?? expectedNext) + late;
    return isLost || (!next.entry.isAvoided(now) && arrival < Math.abs(expected - waited));
  }

  /** Gets what is known of each work-aware service. */
  getEstimates(now: number): readonly ServiceEstimate[] {
    return [...this.services]
      .filter(([, { isWorkAware }]) => isWorkAware)
      .map(([service, work]) => ({
        service,
        reading: work.speed.getEstimate(),
        lateMilliseconds: work.getLateMilliseconds(undefined, now),
      }));
  }

  private getService(name: string): ServiceWork {
    const known = this.services.get(name) ?? ServiceWork.create();
    this.services.set(name, known);
    return known;
  }

  private getUpstream(entry: UpstreamEntry): UpstreamWork {
    const known = this.upstreams.get(entry) ?? UpstreamWork.create();
    this.upstreams.set(entry, known);
    return known;
  }
}

/** Gets the time for which the work that an upstream holds, and the queues of its service, explain that it sends nothing. */
function getSilenceAllowance(service: ServiceWork, upstream: UpstreamWork, now: number): number {
  const estimate = service.speed.getEstimate() ?? assumedReading;
  const meanTokens = service.getMeanTokens();
  const queued = assumedQueuedRequests * meanTokens * estimate.millisecondsPerToken;
  const late = Math.max(queued, service.getLateMilliseconds(upstream, now));
  return upstream.getHeldMilliseconds(estimate, meanTokens, now) + late;
}

const assumedReading: ReadingEstimate = {
  millisecondsPerToken: assumedMillisecondsPerToken,
  fixedMilliseconds: firstFixedMilliseconds,
};

/** Checks whether the host's slowdown, as far as it was reported, was the same from the sending to the first byte. */
function isSteady({ slowdown: before }: WaitingRequest, after: number): boolean {
  const ratio = (before ?? 1) / after;
  return ratio <= steadySlowdownRatio && ratio >= 1 / steadySlowdownRatio;
}
