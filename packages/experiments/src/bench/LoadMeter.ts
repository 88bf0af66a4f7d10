import { build, type Histogram } from "hdr-histogram-js";
import { loadBound, type Fleet } from "./Fleet.js";

const ratioScale = 1000;
const plotIntervalMilliseconds = 500;

/** One moment of the load curve. */
export interface LoadSample {
  readonly at: number;
  readonly loads: readonly number[];
  readonly bound: number;
}

/** Samples the load of every engine after every event. */
export class LoadMeter {
  readonly samples: LoadSample[] = [];
  /** Largest load over the mean, in thousandths, after each change. */
  private readonly ratios: Histogram = build({ numberOfSignificantValueDigits: 3 });
  private maxRatio = 0;
  private overMilliseconds = 0;
  private overSince: number | undefined;
  private seenVersion = -1;
  private meanSum = 0;
  private meanCount = 0;

  private constructor(
    private readonly fleet: Fleet,
    private readonly keepsSamples: boolean,
  ) {}

  /**
   * Creates a meter.
   * @param fleet - Fleet to measure.
   * @param keepsSamples - Whether to keep samples for a plot.
   */
  static create(fleet: Fleet, keepsSamples: boolean): LoadMeter {
    return new LoadMeter(fleet, keepsSamples);
  }

  /** Gets the largest load over the mean at any event. */
  getMaxRatio(): number {
    return this.maxRatio;
  }

  /** Gets the ratio that 99 of 100 samples stay below. */
  getRatio99(): number {
    return this.ratios.getValueAtPercentile(99) / ratioScale;
  }

  /** Gets the mean load of an engine. */
  getMeanLoad(): number {
    return this.meanSum / Math.max(1, this.meanCount);
  }

  /** Gets the share of the time in which some engine was above the bound. */
  getTimeOverBound(): number {
    this.endOver(this.fleet.measuredUntil);
    return this.overMilliseconds / (this.fleet.measuredUntil - this.fleet.measuredFrom);
  }

  /** Takes a sample when a load changed. */
  sample(): void {
    const now = this.fleet.events.getNow();
    if (now < this.fleet.measuredFrom || this.fleet.version === this.seenVersion) {
      return;
    }
    this.seenVersion = this.fleet.version;
    const { max, mean } = this.measure();
    this.meanSum += mean;
    this.meanCount += 1;
    this.addRatio(mean === 0 ? 0 : max / mean);
    this.setOver(max > Math.ceil(loadBound * mean - 1e-9), now);
    this.keepSample(now, mean);
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

  private setOver(isOver: boolean, now: number): void {
    if (!isOver) {
      this.endOver(now);
    } else {
      this.overSince ??= now;
    }
  }

  private endOver(now: number): void {
    if (this.overSince !== undefined) {
      this.overMilliseconds += now - this.overSince;
      this.overSince = undefined;
    }
  }

  private keepSample(at: number, mean: number): void {
    const last = this.samples.at(-1)?.at ?? -Infinity;
    if (this.keepsSamples && at - last >= plotIntervalMilliseconds) {
      const loads = this.fleet.engines.map((engine) => engine.getLoad());
      this.samples.push({ at, loads, bound: Math.ceil(loadBound * mean) });
    }
  }
}
