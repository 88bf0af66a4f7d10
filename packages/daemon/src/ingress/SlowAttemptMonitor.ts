import { isRepeatable, type RequestRoute } from "@pistachioway/kernel";
import type { Attempt } from "./Attempt.js";
import type { TickListeners } from "./TickListeners.js";

/** Multiple of the route's latency objective after which an attempt without response head is slow. */
const slowObjectiveRatio = 1.6;
/** Time without bytes after which an attempt at a target that is avoided is slow. */
const avoidedTimeoutMilliseconds = 300;
/** Time without bytes after which a started response is slow, and an upstream counts as failed. */
const stallTimeoutMilliseconds = 1_200;

/** Checks periodically whether an attempt of a repeatable request is slow. */
export class SlowAttemptMonitor {
  private check: (() => void) | undefined;

  private constructor(
    private readonly route: RequestRoute,
    private readonly getNow: () => number,
    private readonly ticks: TickListeners,
  ) {}

  /**
   * Creates a monitor that is not started.
   * @param route - Route of the request.
   * @param getNow - Reads the monotonic clock, in milliseconds.
   * @param ticks - Ticks at which the attempt is checked.
   */
  static create(
    route: RequestRoute,
    getNow: () => number,
    ticks: TickListeners,
  ): SlowAttemptMonitor {
    return new SlowAttemptMonitor(route, getNow, ticks);
  }

  /**
   * Starts to monitor an attempt, if it may be followed by another one.
   * @param attempt - Attempt to monitor.
   * @param runs - Attempts that may have run, this one included.
   * @param onSlow - Called once, when the attempt is slow.
   */
  start(attempt: Attempt, runs: number, onSlow: (attempt: Attempt) => void): void {
    if (!isRepeatable(this.route) || runs >= this.route.maxAttempts) {
      return;
    }
    this.stop();
    const check = (): void => {
      if (this.isSlow(attempt)) {
        // What came while this process stood still is read first.
        setImmediate(() => {
          this.decide(check, attempt, onSlow);
        });
      }
    };
    this.check = check;
    this.ticks.add(check);
  }

  /** Stops the checks. */
  stop(): void {
    if (this.check !== undefined) {
      this.ticks.remove(this.check);
      this.check = undefined;
    }
  }

  /**
   * Records a failure of a target that has sent nothing for the stall timeout, or longer if its work explains that.
   * @param attempt - Attempt at the target; undefined when none is under way.
   */
  recordFailureIfUnresponsive(attempt: Attempt | undefined): void {
    const now = this.getNow();
    if (attempt === undefined) {
      return;
    }
    const limit = Math.max(stallTimeoutMilliseconds, attempt.target.getSilenceLimit(now));
    if (now - attempt.lastReceivedAt > limit) {
      attempt.target.recordFailure(now);
    }
  }

  /**
   * Records a failure of a target that a slow attempt is repeated elsewhere from, unless its work explains that it has
   * sent nothing. Where no work is known, each such attempt is a failure.
   * @param attempt - Slow attempt at the target.
   */
  recordFailureIfSilent({ target, lastReceivedAt }: Attempt): void {
    const now = this.getNow();
    if (now - lastReceivedAt > target.getSilenceLimit(now)) {
      target.recordFailure(now);
    }
  }

  private decide(check: () => void, attempt: Attempt, onSlow: (attempt: Attempt) => void): void {
    if (this.check === check && this.isSlow(attempt)) {
      this.stop();
      onSlow(attempt);
    }
  }

  private isSlow({ target, head, lastReceivedAt }: Attempt): boolean {
    const now = this.getNow();
    const limit =
      head === undefined
        ? this.route.goalMilliseconds * slowObjectiveRatio
        : stallTimeoutMilliseconds;
    const waitedMilliseconds = now - lastReceivedAt;
    const isLate =
      waitedMilliseconds >
      (target.isAvoided(now) ? Math.min(avoidedTimeoutMilliseconds, limit) : limit);
    if (!isLate) {
      return false;
    }
    return head === undefined
      ? target.isRepeatSooner(now)
      : waitedMilliseconds > target.getSilenceLimit(now);
  }
}
