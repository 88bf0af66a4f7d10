import {
  answeredLatenessLifetimeMilliseconds,
  keptSamples,
  latenessQuantile,
  neededLatenessAnswers,
  neededLatenessUpstreams,
  unreadWeight,
} from "./constants.js";
import { getQuantile } from "./getQuantile.js";
import { ReadingSpeed } from "./ReadingSpeed.js";
import type { UpstreamWork } from "./UpstreamWork.js";

const median = 0.5;

/** What a daemon knows of the work of one service. Times are monotonic milliseconds. */
export class ServiceWork {
  readonly speed = ReadingSpeed.create();
  /** Whether one of its upstreams has reported the slowdown of its host. */
  isWorkAware = false;
  private meanTokens: number | undefined;
  /** Upstreams with requests that wait or were answered a short while ago. */
  private readonly active = new Set<UpstreamWork>();

  /** By how much the last first bytes came later than expected. */
  private answered: { readonly milliseconds: number; readonly at: number }[] = [];

  private constructor() {
    // Created through the static method.
  }

  /** Creates the work of a service that is not known. */
  static create(): ServiceWork {
    return new ServiceWork();
  }

  /** Records that a request is sent to an upstream. */
  recordStart(upstream: UpstreamWork, unreadTokens: number): void {
    this.active.add(upstream);
    const mean = this.meanTokens ?? unreadTokens;
    this.meanTokens = mean + (unreadTokens - mean) * unreadWeight;
  }

  /** Records by how much a first byte came later than expected. */
  recordLateness(milliseconds: number, now: number): void {
    this.answered.push({ milliseconds, at: now });
    this.dropOldAnswers(now);
  }

  /** Gets the mean unread tokens of this daemon's requests. */
  getMeanTokens(): number {
    return this.meanTokens ?? 0;
  }

  /**
   * Gets the time by which first bytes are later than expected at the moment: a high quantile of those that came, which
   * tells of the longest queues, or the median of those that are due at other upstreams, if that is more.
   * @param except - Upstream that is judged by it, and tells nothing of itself.
   * @param now - Current time.
   */
  getLateMilliseconds(except: UpstreamWork | undefined, now: number): number {
    const known: number[] = [];
    for (const upstream of this.active) {
      if (upstream.isIdle(now)) {
        this.active.delete(upstream);
        continue;
      }
      const late = upstream === except ? undefined : upstream.getLateMilliseconds(now);
      if (late !== undefined) {
        known.push(late);
      }
    }
    const due = known.length < neededLatenessUpstreams ? 0 : (getQuantile(known, median) ?? 0);
    return Math.max(due, this.getAnsweredLateness(now));
  }

  private getAnsweredLateness(now: number): number {
    this.dropOldAnswers(now);
    const known = this.answered.map(({ milliseconds }) => milliseconds);
    return known.length < neededLatenessAnswers ? 0 : (getQuantile(known, latenessQuantile) ?? 0);
  }

  private dropOldAnswers(now: number): void {
    this.answered = this.answered
      .filter(({ at }) => now - at < answeredLatenessLifetimeMilliseconds)
      .slice(-keptSamples);
  }
}
