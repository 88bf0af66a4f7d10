import type { Instant } from "@pistachioway/kernel";

/** Figures of load and the time they were taken at. */
export interface LoadFigures {
  readonly at: Instant;
  readonly running: number;
  readonly waiting: number;
}

/** Figures of load that are taken in intervals, so that a report lags behind. */
export class LoadReport {
  private figures: LoadFigures;
  private isStuck = false;
  private readonly timer: NodeJS.Timeout;

  private constructor(
    private readonly lagMilliseconds: number,
    private readonly getCounts: () => { running: number; waiting: number },
  ) {
    this.figures = this.take();
    this.timer = setInterval(() => {
      this.figures = this.isStuck ? this.figures : this.take();
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
  getFigures(): LoadFigures {
    return this.lagMilliseconds === 0 && !this.isStuck ? this.take() : this.figures;
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

  private take(): LoadFigures {
    return { at: Date.now(), ...this.getCounts() };
  }
}
