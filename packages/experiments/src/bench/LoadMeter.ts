import { build, type Histogram } from "hdr-histogram-js";
import { loadBound, type SimulatedFleet } from "./SimulatedFleet.js";

const ratioScale = 1000;
const plotIntervalMilliseconds = 500;

/** The load of every engine at one time. */
export interface LoadSample {
  readonly at: number;
  readonly loads: readonly number[];
  readonly bound: number;
}

/** Measures how evenly the load is spread over the live engines. */
export class LoadMeter {
  readonly samples: LoadSample[] = [];
  /** Ratio of the largest load to the mean load after each change, in thousandths. */
  private readonly ratios: Histogram = build({ numberOfSignificantValueDigits: 3 });
  private maxRatio = 0;
  private overBoundMilliseconds = 0;
  private overBoundSince: number | undefined;
  private lastVersion = -1;
  private meanSum = 0;
  private meanCount = 0;

  private constructor(
    private readonly fleet: SimulatedFleet,
    private readonly keepsSamples: boolean,
  ) {}

  /**
   * Creates a meter.
   * @param fleet - Fleet to measure.
   * @param keepsSamples - Whether to record samples for a plot.
   */
  static create(fleet: SimulatedFleet, keepsSamples: boolean): LoadMeter {
    return new LoadMeter(fleet, keepsSamples);
  }

  /** Gets the highest ratio of the largest load to the mean load. */
  getMaxRatio(): number {
    return this.maxRatio;
  }

  /** Gets the 99th percentile of the ratio of the largest load to the mean load. */
  getP99Ratio(): number {
    return this.ratios.getValueAtPercentile(99) / ratioScale;
  }

  /** Gets the mean load of a live engine, averaged over all measured changes. */
  getMeanLoad(): number {
    return this.meanSum / Math.max(1, this.meanCount);
  }

  /** Gets the share of the time in which some engine was above the bound. */
  getOverBoundShare(): number {
    this.endOverBound(this.fleet.measurementEndsAt);
    return (
      this.overBoundMilliseconds / (this.fleet.measurementEndsAt - this.fleet.measurementStartsAt)
    );
  }

  /** Measures the loads if one has changed since the last call. */
  sample(): void {
    const now = this.fleet.events.getNow();
    if (now < this.fleet.measurementStartsAt || this.fleet.version === this.lastVersion) {
      return;
    }
    this.lastVersion = this.fleet.version;
    const { max, mean } = this.measure();
    this.meanSum += mean;
    this.meanCount += 1;
    this.addRatio(mean === 0 ? 0 : max / mean);
    this.setOverBound(max > Math.ceil(loadBound * mean - 1e-9), now);
    this.addSample(now, mean);
  }

  private measure(): { max: number; mean: number } {
    let max = 0;
    let total = 0;
    let count = 0;
    for (const engine of this.fleet.engines) {
      if (engine.isLive) {
        const load = engine.getLoad();
        max = Math.max(max, load);
        total += load;
        count += 1;
      }
    }
    return { max, mean: count === 0 ? 0 : total / count };
  }

  private addRatio(ratio: number): void {
    this.maxRatio = Math.max(this.maxRatio, ratio);
    this.ratios.recordValue(Math.round(ratio * ratioScale));
  }

  private setOverBound(isOver: boolean, now: number): void {
    if (!isOver) {
      this.endOverBound(now);
    } else {
      this.overBoundSince ??= now;
    }
  }

  private endOverBound(now: number): void {
    if (this.overBoundSince !== undefined) {
      this.overBoundMilliseconds += now - this.overBoundSince;
      this.overBoundSince = undefined;
    }
  }

  private addSample(at: number, mean: number): void {
    const last = this.samples.at(-1)?.at ?? -Infinity;
    if (this.keepsSamples && at - last >= plotIntervalMilliseconds) {
      const loads = this.fleet.engines.map((engine) => engine.getLoad());
      this.samples.push({ at, loads, bound: Math.ceil(loadBound * mean) });
    }
  }
}
