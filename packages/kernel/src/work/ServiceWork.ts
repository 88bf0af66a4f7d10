import { neededLatenessUpstreams, unreadWeight } from "./constants.js";
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

  /** Gets the mean unread tokens of this daemon's requests. */
  getMeanTokens(): number {
    return this.meanTokens ?? 0;
  }

  /**
   * Gets the time by which first bytes are later than expected at the moment: the median of the other upstreams; 0 when too
   * few are known.
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
    return known.length < neededLatenessUpstreams ? 0 : (getQuantile(known, median) ?? 0);
  }
}
