import { isRepeatable, type RequestRoute } from "@pistachioway/kernel";
import type { Attempt } from "./Attempt.js";

const checkIntervalMilliseconds = 150;
/** Part of its goal after which a repeatable request is better sent elsewhere. */
const slowObjectiveRatio = 1.6;
/** An answer is waited for this long from an upstream that seems not to be there. */
const avoidedTimeoutMilliseconds = 300;
/** A stream that pauses for longer goes on elsewhere, where it may. */
const stallTimeoutMilliseconds = 1_200;

/** Looks now and then whether a request that may be repeated is better sent elsewhere. */
export class SlowAttemptMonitor {
  private timer: NodeJS.Timeout | undefined;

  private constructor(
    private readonly route: RequestRoute,
    private readonly getNow: () => number,
  ) {}

  /**
   * Creates a watch that is not started.
   * @param route - Route of the request.
   * @param getNow - Reads the steady clock, in milliseconds.
   */
  static create(route: RequestRoute, getNow: () => number): SlowAttemptMonitor {
    return new SlowAttemptMonitor(route, getNow);
  }

  /**
   * Watches an attempt, if another one may follow it.
   * @param attempt - Attempt to watch.
   * @param runs - Attempts that may have run, this one included.
   * @param onSlow - Called once, when the attempt is late.
   */
  start(attempt: Attempt, runs: number, onSlow: (attempt: Attempt) => void): void {
    if (!isRepeatable(this.route) || runs >= this.route.maxAttempts) {
      return;
    }
    this.timer = setTimeout(() => {
      if (this.isSlow(attempt)) {
        onSlow(attempt);
      } else {
        this.start(attempt, runs, onSlow);
      }
    }, checkIntervalMilliseconds);
  }

  /** Ends the watch. */
  stop(): void {
    clearTimeout(this.timer);
  }

  /**
   * Tells whether an upstream has said nothing for so long that it counts as failed.
   * @param attempt - Attempt at the upstream.
   */
  isUnresponsive(attempt: Attempt): boolean {
    return this.getNow() - attempt.lastReceivedAt > stallTimeoutMilliseconds;
  }

  private isSlow({ entry, head, lastReceivedAt: lastHeardAt }: Attempt): boolean {
    const now = this.getNow();
    const limit =
      head === undefined
        ? this.route.goalMilliseconds * slowObjectiveRatio
        : stallTimeoutMilliseconds;
    const waited = now - lastHeardAt;
    return waited > (entry.isAvoided(now) ? Math.min(avoidedTimeoutMilliseconds, limit) : limit);
  }
}
