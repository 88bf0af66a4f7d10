import type { Instant } from "@pistachioway/kernel";

/** Figures of load and the time they were taken at. */
export interface LoadSample {
  readonly at: Instant;
  readonly running: number;
  readonly waiting: number;
}

/** Figures of load that are taken in intervals, so that a report lags behind. */
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
   * @param lagMilliseconds - Interval; 0 takes the figures for each report.
   * @param getCounts - Counts the requests at the moment.
   */
  static create(
    lagMilliseconds: number,
    getCounts: () => { running: number; waiting: number },
  ): LoadReport {
    return new LoadReport(lagMilliseconds, getCounts);
  }

  /** Gets the figures as they are reported now. */
  getSample(): LoadSample {
    return this.lagMilliseconds === 0 && !this.isStuck ? this.takeSample() : this.sample;
  }

  /** Stops to take figures. */
  close(): void {
    clearInterval(this.timer);
  }

  /**
   * Holds the figures at those of now, or takes them anew as usual.
   * @param isStuck - Whether the figures are held.
   */
  setStuck(isStuck: boolean): void {
    this.isStuck = isStuck;
  }

  private takeSample(): LoadSample {
    return { at: Date.now(), ...this.getCounts() };
  }
}
