/** Retry budget of one service over the whole fleet. */
export interface RetryWindowBudgetOptions {
  /** Retries allowed per request. */
  readonly ratio: number;
  /** Retries allowed in a window in addition to the ratio, over the whole fleet. */
  readonly slack: number;
  readonly windowMilliseconds: number;
}

interface Slice {
  readonly startsAt: number;
  requests: number;
  retries: number;
}

const slicesPerWindow = 10;
/** Share of the fleet's budget that is spent; the rest covers retries that are counted late. */
const usableShare = 0.8;

/**
 * Limits the retries of one service in a sliding window to this daemon's share of the fleet's
 * budget. Daemons need no coordination: each earns retries by its own requests and uses an equal
 * share of the slack.
 */
export class RetryWindowBudget {
  private slices: Slice[] = [];

  private constructor(private readonly options: RetryWindowBudgetOptions) {}

  /**
   * Creates an unused budget.
   * @param options - Budget of the whole fleet.
   */
  static create(options: RetryWindowBudgetOptions): RetryWindowBudget {
    return new RetryWindowBudget(options);
  }

  /**
   * Counts the first attempt of a request.
   * @param now - Monotonic time in milliseconds.
   */
  addRequest(now: number): void {
    this.getSlice(now).requests += 1;
  }

  /**
   * Spends one retry; returns false when the budget is exhausted.
   * @param now - Monotonic time in milliseconds.
   * @param daemonCount - Daemons that share the slack, this one included.
   */
  spendRetry(now: number, daemonCount: number): boolean {
    const slice = this.getSlice(now);
    const requests = this.slices.reduce((sum, each) => sum + each.requests, 0);
    const retries = this.slices.reduce((sum, each) => sum + each.retries, 0);
    const { ratio, slack } = this.options;
    const allowed = usableShare * (ratio * requests + slack / Math.max(1, daemonCount));
    if (retries + 1 > allowed) {
      return false;
    }
    slice.retries += 1;
    return true;
  }

  private getSlice(now: number): Slice {
    const sliceMilliseconds = this.options.windowMilliseconds / slicesPerWindow;
    const startsAt = Math.floor(now / sliceMilliseconds) * sliceMilliseconds;
    const oldest = startsAt - this.options.windowMilliseconds;
    this.slices = this.slices.filter((each) => each.startsAt >= oldest);
    const last = this.slices.at(-1);
    if (last?.startsAt === startsAt) {
      return last;
    }
    const slice = { startsAt, requests: 0, retries: 0 };
    this.slices.push(slice);
    return slice;
  }
}
