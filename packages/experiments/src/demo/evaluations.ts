import { createHash } from "node:crypto";
import type { ActReport, LoadSample, Observations } from "./observations.js";

/** Whether one promise held, with the evidence as text. */
export interface PromiseEvaluation {
  readonly promise: string;
  readonly held: boolean;
  readonly evidence: string;
}

const leavingLimitMilliseconds = 3_000;
const inForceLimitMilliseconds = 5_000;
/** The engines of a sample are not read at the same instant, so a request may be counted twice. */
const sampleToleranceRequests = 1;

/**
 * Evaluates each promise. A promise counts as broken when the run did not exercise it.
 * @param observations - Everything that the demo observed.
 */
export function evaluatePromises(observations: Observations): PromiseEvaluation[] {
  return [
    evaluateLoad(observations),
    evaluateAnswers(observations),
    evaluateNotRun(observations),
    evaluateActs(observations),
    evaluateLeaving(observations),
    evaluateStop(observations),
    evaluateConfiguration(observations),
    evaluateOutage(observations),
  ];
}

function evaluateLoad({ loads, bound, kill }: Observations): PromiseEvaluation {
  const samplesOverBound = loads.filter((sample) => isOverBound(sample, bound));
  return {
    promise: "load",
    held: loads.length > 0 && samplesOverBound.length === 0,
    evidence:
      `${String(samplesOverBound.length)} of ${String(loads.length)} samples over ${String(bound)} times the ` +
      `mean, rounded up, and ${String(sampleToleranceRequests)} for the time between readings` +
      (samplesOverBound[0] === undefined
        ? ""
        : ` (first: ${formatSample(samplesOverBound[0], kill.at)})`),
  };
}

function formatSample(sample: LoadSample, killedAt: number): string {
  const { at, spanMilliseconds, loads } = sample;
  const time = `${String(at - killedAt)} ms from the kill`;
  return `${loads.join(" ")}, read within ${String(spanMilliseconds)} ms, ${time}`;
}

function isOverBound({ loads }: LoadSample, bound: number): boolean {
  const limit = Math.ceil(bound * getMean(loads)) + sampleToleranceRequests;
  return Math.max(...loads) > limit;
}

/**
 * Gets the mean; 0 for no values.
 * @param values - Numbers to average.
 */
export function getMean(values: readonly number[]): number {
  return values.reduce((sum, value) => sum + value, 0) / Math.max(1, values.length);
}

function evaluateAnswers({ chats, cuts, kill }: Observations): PromiseEvaluation {
  const unexplained = cuts.filter(({ daemon, at }) => daemon !== kill.daemon || at < kill.at);
  const { whole, wrong, unanswered } = chats;
  return {
    promise: "answers",
    held: whole > 0 && wrong === 0 && unanswered === 0 && unexplained.length === 0,
    evidence:
      `${String(whole)} whole, ${String(wrong)} wrong, ${String(unanswered)} unanswered, ` +
      `${String(cuts.length)} cut, ${String(unexplained.length)} of them not by the kill` +
      (unexplained[0] === undefined ? "" : ` (${unexplained[0].daemon}: ${unexplained[0].detail})`),
  };
}

function evaluateNotRun({ acts, runs }: Observations): PromiseEvaluation {
  const keys = acts.flatMap((act) => act.keys);
  const notRunKeys = keys.filter(({ outcomes }) => outcomes.includes("not-run"));
  const recordedKeys = new Set(runs.map(({ key }) => key));
  const recordedNotRunKeys = notRunKeys.filter(({ key }) => recordedKeys.has(key));
  return {
    promise: "not-run",
    held: notRunKeys.length > 0 && recordedNotRunKeys.length === 0,
    evidence: `${String(notRunKeys.length)} keys told not-run, ${String(recordedNotRunKeys.length)} of them recorded`,
  };
}

function evaluateActs({ acts, runs }: Observations): PromiseEvaluation {
  const counts = countRuns(runs.map(({ bodyDigest }) => bodyDigest));
  const getCount = (act: ActReport) => counts.get(getDigest(act.body)) ?? 0;
  const repeated = acts.filter((act) => getCount(act) > 1);
  const complete = acts.filter((act) => hasOutcome(act, "complete"));
  const lost = complete.filter((act) => getCount(act) === 0);
  const unknown = acts.filter((act) => !hasOutcome(act, "complete") && hasOutcome(act, "unknown"));
  return {
    promise: "at most once",
    held: complete.length > 0 && repeated.length === 0 && lost.length === 0,
    evidence:
      `${String(acts.length)} acts, ${String(complete.length)} complete, ` +
      `${String(unknown.length)} unknown, ${String(repeated.length)} recorded twice, ` +
      `${String(lost.length)} told complete without a record`,
  };
}

function hasOutcome(act: ActReport, outcome: string): boolean {
  return act.keys.some(({ outcomes }) => outcomes.includes(outcome));
}

function countRuns(keys: readonly string[]): Map<string, number> {
  const counts = new Map<string, number>();
  for (const key of keys) {
    counts.set(key, (counts.get(key) ?? 0) + 1);
  }
  return counts;
}

function getDigest(body: string): string {
  return createHash("sha256").update(body).digest("hex");
}

function evaluateLeaving({ leaving }: Observations): PromiseEvaluation {
  const lateRequests = leaving.requestTimesAfter.filter(
    (at) => at > leaving.at + leavingLimitMilliseconds,
  );
  const lastAfter = Math.max(0, ...leaving.requestTimesAfter.map((at) => at - leaving.at));
  return {
    promise: "leaving",
    held: leaving.requestsBefore > 0 && lateRequests.length === 0,
    evidence:
      `last new request ${String(lastAfter)} ms after the first sign, ` +
      `${String(lateRequests.length)} after ${String(leavingLimitMilliseconds)} ms`,
  };
}

function evaluateStop({ stop, cuts }: Observations): PromiseEvaluation {
  const cutOff = cuts.filter(({ daemon }) => daemon === stop.daemon);
  return {
    promise: "planned stop",
    held: stop.inFlight > 0 && stop.exitCode === 0 && cutOff.length === 0,
    evidence:
      `${stop.daemon} stopped with ${String(stop.inFlight)} requests in flight, ` +
      `${String(cutOff.length)} cut off, exit code ${String(stop.exitCode)}`,
  };
}

function evaluateConfiguration({ configuration }: Observations): PromiseEvaluation {
  const { live, publishedAt, revision, refusedRevision, samples } = configuration;
  const inForceMilliseconds = live.map(
    (daemon) => getInForceAt(samples, daemon, revision) - publishedAt,
  );
  const longestMilliseconds = Math.max(...inForceMilliseconds);
  const reversions = countReversions(samples);
  const refusing = live.filter((daemon) =>
    samples.some(
      (sample) => sample.daemon === daemon && sample.refusedRevision === refusedRevision,
    ),
  );
  const applied = samples.filter((sample) => sample.revision === refusedRevision);
  const isInForce = longestMilliseconds <= inForceLimitMilliseconds && live.length > 0;
  const isRefused = refusing.length === live.length && applied.length === 0;
  return {
    promise: "configuration",
    held: isInForce && isRefused && reversions === 0,
    evidence:
      `in force on ${String(live.length)} daemons after ${formatTime(longestMilliseconds)}, ` +
      `${String(reversions)} reversions, bad file refused on ${String(refusing.length)}`,
  };
}

function formatTime(milliseconds: number): string {
  return Number.isFinite(milliseconds) ? `${String(milliseconds)} ms` : "never";
}

function getInForceAt(
  samples: Observations["configuration"]["samples"],
  daemon: string,
  revision: number,
): number {
  const sample = samples.find((each) => each.daemon === daemon && each.revision >= revision);
  return sample?.at ?? Number.POSITIVE_INFINITY;
}

function countReversions(samples: Observations["configuration"]["samples"]): number {
  const highest = new Map<string, number>();
  let count = 0;
  for (const { daemon, revision } of samples) {
    count += revision < (highest.get(daemon) ?? 0) ? 1 : 0;
    highest.set(daemon, Math.max(revision, highest.get(daemon) ?? 0));
  }
  return count;
}

function evaluateOutage({ outage }: Observations): PromiseEvaluation {
  return {
    promise: "platform outage",
    held: outage.whole > 0,
    evidence: `${String(outage.whole)} whole answers while the platform was down`,
  };
}
