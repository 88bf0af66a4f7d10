import type { Deployment } from "./deployment.js";
import { SimulatedFleet, loadBound } from "./SimulatedFleet.js";
import { LoadMeter, type LoadSample } from "./LoadMeter.js";
import type { PolicyFactory } from "./policies/Policy.js";
import type { Scenario } from "./scenario.js";
import { Traffic } from "./Traffic.js";

/** The measurements of one policy in one scenario. */
export interface TrialResult {
  readonly policy: string;
  /** Ratio of the reused tokens to those that a single unlimited cache would reuse. */
  readonly cacheReuse: number;
  /** Highest ratio of the largest load to the mean load. */
  readonly maxLoadOverMean: number;
  readonly bound: number;
  /** Fraction of the time in which an engine's load exceeded the bound rounded up to an integer. */
  readonly timeOverBound: number;
  /** Control bytes per second of the daemon that sends the most. */
  readonly controlBytesPerSecond: number;
  readonly meanLoad: number;
  readonly requestsPerSecond: number;
  readonly firstTurnShare: number;
  readonly samples: readonly LoadSample[];
}

/** The policy, scenario and deployment of one trial. */
export interface TrialOptions {
  readonly deployment: Deployment;
  readonly scenario: Scenario;
  readonly seed: number;
  readonly createPolicy: PolicyFactory;
  readonly keepsSamples: boolean;
}

/**
 * Measures one policy in one scenario.
 * @param options - Options of the trial.
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
