import { isRepeatable, type RequestRoute } from "@pistachioway/kernel";
import type { Attempt } from "./Attempt.js";

const watchMilliseconds = 150;
/** Part of its goal after which a repeatable request is better sent elsewhere. */
const lateGoals = 1.6;
/** An answer is waited for this long from an upstream that seems not to be there. */
const lostMilliseconds = 300;
/** A stream that pauses for longer goes on elsewhere, where it may. */
const stallMilliseconds = 1_200;

/** Looks now and then whether a request that may be repeated is better sent elsewhere. */
export class LateWatch {
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
  static create(route: RequestRoute, getNow: () => number): LateWatch {
    return new LateWatch(route, getNow);
  }

  /**
   * Watches an attempt, if another one may follow it.
   * @param attempt - Attempt to watch.
   * @param runs - Attempts that may have run, this one included.
   * @param onLate - Called once, when the attempt is late.
   */
  start(attempt: Attempt, runs: number, onLate: (attempt: Attempt) => void): void {
    if (!isRepeatable(this.route) || runs >= this.route.maxAttempts) {
      return;
    }
    this.timer = setTimeout(() => {
      if (this.isLate(attempt)) {
        onLate(attempt);
      } else {
        this.start(attempt, runs, onLate);
      }
    }, watchMilliseconds);
  }

  /** Ends the watch. */
  stop(): void {
    clearTimeout(this.timer);
  }

  /**
   * Tells whether an upstream has said nothing for so long that it counts as failed.
   * @param attempt - Attempt at the upstream.
   */
  isUnheard(attempt: Attempt): boolean {
    return this.getNow() - attempt.lastHeardAt > stallMilliseconds;
  }

  private isLate({ entry, head, lastHeardAt }: Attempt): boolean {
    const now = this.getNow();
    const limit = head === undefined ? this.route.goalMilliseconds * lateGoals : stallMilliseconds;
    const waited = now - lastHeardAt;
    return waited > (entry.isAvoided(now) ? Math.min(lostMilliseconds, limit) : limit);
  }
}
