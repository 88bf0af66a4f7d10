import type { Deployment } from "./deployment.js";
import { SimulatedFleet, loadBound } from "./SimulatedFleet.js";
import { LoadMeter, type LoadSample } from "./LoadMeter.js";
import type { PolicyFactory } from "./policies/Policy.js";
import type { Scenario } from "./scenario.js";
import { Traffic } from "./Traffic.js";

/** The measures of one policy in one scenario. */
export interface TrialResult {
  readonly policy: string;
  /** Reused tokens over those that one cache without limit would reuse. */
  readonly cacheReuse: number;
  /** Largest load over the mean at any event. */
  readonly maxLoadOverMean: number;
  readonly bound: number;
  /** Share of the time in which some engine was above the bound, rounded up to whole requests. */
  readonly timeOverBound: number;
  /** Of the daemon that sends most. */
  readonly controlBytesPerSecond: number;
  readonly meanLoad: number;
  readonly requestsPerSecond: number;
  readonly firstTurnShare: number;
  readonly samples: readonly LoadSample[];
}

/** What one trial runs. */
export interface TrialOptions {
  readonly deployment: Deployment;
  readonly scenario: Scenario;
  readonly seed: number;
  readonly createPolicy: PolicyFactory;
  readonly keepsSamples: boolean;
}

/**
 * Runs one policy through one scenario.
 * @param options - What to run.
 */
export function runTrial(options: TrialOptions): TrialResult {
  const fleet = SimulatedFleet.create(options.deployment, options.scenario, options.seed);
  options.scenario.schedule(fleet);
  const policy = options.createPolicy(fleet);
  const traffic = Traffic.create(fleet, policy);
  const meter = LoadMeter.create(fleet, options.keepsSamples);
  fleet.events.addEvent(fleet.measurementStartsAt, () => {
    policy.drainControlBytes();
  });
  fleet.events.runUntil(fleet.measurementEndsAt, () => {
    meter.sample();
  });
  const seconds = options.deployment.measuredSeconds;
  const { reuse } = traffic;
  return {
    policy: policy.name,
    cacheReuse: reuse.reusedTokens / Math.max(1, reuse.reusableTokens),
    maxLoadOverMean: meter.getMaxRatio(),
    bound: loadBound,
    timeOverBound: meter.getOverBoundShare(),
    controlBytesPerSecond: Math.max(...policy.drainControlBytes()) / seconds,
    meanLoad: meter.getMeanLoad(),
    requestsPerSecond: reuse.requests / seconds,
    firstTurnShare: reuse.firstTurns / Math.max(1, reuse.requests),
    samples: meter.samples,
  };
}
