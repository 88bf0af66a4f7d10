import type { Instant } from "@pistachioway/kernel";

/** Request counts and the time at which they were sampled. */
export interface LoadSample {
  readonly at: Instant;
  readonly running: number;
  readonly waiting: number;
}

/** Load sampled at an interval, so that reports lag behind the actual load. */
export class LoadReport {
  private sample: LoadSample;
  private isStuck = false;
  private readonly timer: NodeJS.Timeout;

  private constructor(
    private readonly lagMilliseconds: number,
    private readonly getCounts: () => { running: number; waiting: number },
  ) {
    this.sample = this.takeSample();
    this.timer = setInterval(() => {
      this.sample = this.isStuck ? this.sample : this.takeSample();
    }, lagMilliseconds);
    this.timer.unref();
  }

  /**
   * Creates a report.
   * @param lagMilliseconds - Sampling interval; 0 takes a sample for each report.
   * @param getCounts - Gets the current request counts.
   */
  static create(
    lagMilliseconds: number,
    getCounts: () => { running: number; waiting: number },
  ): LoadReport {
    return new LoadReport(lagMilliseconds, getCounts);
  }

  /** Gets the load to report now. */
  getSample(): LoadSample {
    return this.lagMilliseconds === 0 && !this.isStuck ? this.takeSample() : this.sample;
  }

  /** Stops sampling. */
  close(): void {
    clearInterval(this.timer);
  }

  /**
   * Keeps reporting the last sample, or resumes sampling.
   * @param isStuck - Whether the last sample is kept.
   */
  setStuck(isStuck: boolean): void {
    this.isStuck = isStuck;
  }

  private takeSample(): LoadSample {
    return { at: Date.now(), ...this.getCounts() };
  }
}
