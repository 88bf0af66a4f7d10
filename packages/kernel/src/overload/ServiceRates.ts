/** Weight of the newest request in the moving average of a priority's time. */
const timeSmoothing = 0.1;
/** Time constant of the arrival rates. */
const arrivalMemoryMilliseconds = 2_000;
/** Part of the capacity that a priority is expected to get however much more urgent requests arrive. */
const minRemainingRatio = 0.1;

/**
 * Mean deviations above the mean time to the first byte that most requests do not exceed. By the mean alone, half of the
 * requests that are sent last miss their objective.
 */
const allowedDeviations = 2;

interface PriorityRates {
  /** Mean time from sending to the end; undefined before the first end. */
  runMilliseconds: number | undefined;
  /** Mean time from sending to the first byte; 0 before the first. */
  firstByteMilliseconds: number;
  /** Mean deviation from that time. */
  firstByteDeviation: number;
  /** Arrivals, weighted by their age. */
  arrivals: number;
  arrivedAt: number;
  /** Tightest objective of the requests that arrived one shortly after another. */
  goalMilliseconds: number;
}

/** How long requests of each priority run, and how often they arrive, at one daemon. */
export class ServiceRates {
  private readonly priorities = new Map<number, PriorityRates>();
  /** Mean time from sending to the end over all priorities; undefined before the first end. */
  private overallMilliseconds: number | undefined;

  private constructor() {
    // Created through the static method.
  }

  /** Creates rates without requests. */
  static create(): ServiceRates {
    return new ServiceRates();
  }

  /**
   * Counts the arrival of a request.
   * @param priority - Priority of the request.
   * @param goalMilliseconds - Time to the first byte that its route aims at.
   * @param now - Monotonic time.
   */
  addArrival(priority: number, goalMilliseconds: number, now: number): void {
    const rates = this.getRates(priority, now);
    const isRecent = now - rates.arrivedAt < arrivalMemoryMilliseconds;
    rates.goalMilliseconds = isRecent
      ? Math.min(rates.goalMilliseconds, goalMilliseconds)
      : goalMilliseconds;
    rates.arrivals = getArrivals(rates, now) + 1;
    rates.arrivedAt = now;
  }

  /**
   * Counts a request that ran to its end.
   * @param priority - Priority of the request.
   * @param milliseconds - Time from its sending to its end.
   * @param now - Monotonic time.
   */
  addEnd(priority: number, milliseconds: number, now: number): void {
    const rates = this.getRates(priority, now);
    rates.runMilliseconds = smooth(rates.runMilliseconds, milliseconds);
    this.overallMilliseconds = smooth(this.overallMilliseconds, milliseconds);
  }

  /**
   * Counts the first byte of a response.
   * @param priority - Priority of the request.
   * @param milliseconds - Time since its sending.
   * @param now - Monotonic time.
   */
  addFirstByte(priority: number, milliseconds: number, now: number): void {
    const rates = this.getRates(priority, now);
    const deviation = Math.abs(milliseconds - rates.firstByteMilliseconds);
    rates.firstByteDeviation = smooth(rates.firstByteDeviation, deviation);
    rates.firstByteMilliseconds = smooth(rates.firstByteMilliseconds, milliseconds);
  }

  /**
   * Gets the time from sending to the first byte that most requests of a priority do not exceed; 0 when none is known.
   * @param priority - The priority.
   */
  getFirstByteMilliseconds(priority: number): number {
    const rates = this.priorities.get(priority);
    return rates === undefined
      ? 0
      : rates.firstByteMilliseconds + allowedDeviations * rates.firstByteDeviation;
  }

  /**
   * Gets the mean time that a request of a priority runs, or that of all when it has none; 0 when none is known.
   * @param priority - The priority.
   */
  getRunMilliseconds(priority: number): number {
    return this.priorities.get(priority)?.runMilliseconds ?? this.overallMilliseconds ?? 0;
  }

  /**
   * Gets the part of a daemon's limit that the arrivals of more urgent priorities leave.
   * @param priority - The priority.
   * @param limit - Requests that the daemon may have in flight.
   * @param now - Monotonic time.
   */
  getRemainingRatio(priority: number, limit: number, now: number): number {
    let used = 0;
    for (const [each, rates] of this.priorities) {
      if (each < priority) {
        const perMillisecond = getArrivals(rates, now) / arrivalMemoryMilliseconds;
        used += (perMillisecond * this.getRunMilliseconds(each)) / limit;
      }
    }
    return Math.max(minRemainingRatio, 1 - used);
  }

  /**
   * Gets the tightest objective of requests of more urgent priorities that arrived lately; undefined without any.
   * @param priority - The priority.
   * @param now - Monotonic time.
   */
  getUrgentGoal(priority: number, now: number): number | undefined {
    const goals = [...this.priorities]
      .filter(
        ([each, { arrivedAt }]) => each < priority && now - arrivedAt < arrivalMemoryMilliseconds,
      )
      .map(([, { goalMilliseconds }]) => goalMilliseconds);
    return goals.length === 0 ? undefined : Math.min(...goals);
  }

  private getRates(priority: number, now: number): PriorityRates {
    let rates = this.priorities.get(priority);
    if (rates === undefined) {
      rates = {
        runMilliseconds: undefined,
        firstByteMilliseconds: 0,
        firstByteDeviation: 0,
        arrivals: 0,
        arrivedAt: now,
        goalMilliseconds: Infinity,
      };
      this.priorities.set(priority, rates);
    }
    return rates;
  }
}

function getArrivals({ arrivals, arrivedAt }: PriorityRates, now: number): number {
  return arrivals * Math.exp((arrivedAt - now) / arrivalMemoryMilliseconds);
}

function smooth(mean: number | undefined, value: number): number {
  return mean === undefined ? value : mean + timeSmoothing * (value - mean);
}
