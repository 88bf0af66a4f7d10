import type { Observations } from "./observations.js";
import { getMean, type PromiseEvaluation } from "./evaluations.js";

/** Measurements of the demo that no promise depends on. */
export interface Measures {
  readonly whole: number;
  readonly returned: number;
  /** Ratio of prompt tokens that engines found in their caches. */
  readonly cacheReuse: number;
  /** Ratio of prompt words that repeat earlier turns; the upper limit of cache reuse. */
  readonly repeatedShare: number;
  /** Mean over the samples of the highest engine load divided by the mean load. */
  readonly meanSkew: number;
  /** Maximum over the samples of the highest engine load divided by the mean load. */
  readonly maxSkew: number;
  readonly controlBytesPerSecond: readonly number[];
  readonly problems: Readonly<Record<string, number>>;
}

/** The report that `--json` prints. */
export interface Report {
  readonly held: boolean;
  readonly seed: number;
  readonly seconds: number;
  readonly promises: readonly PromiseEvaluation[];
  readonly measures: Measures;
}

/** Samples with a lower mean load are left out of the skew, which means little for few requests. */
const minMeanLoad = 2;

/**
 * Computes the measurements.
 * @param observations - Everything that the demo observed.
 */
export function getMeasures(observations: Observations): Measures {
  const { chats, loads, cacheReuse, controlBytesPerSecond, problems } = observations;
  const skews = loads
    .map((sample) => sample.loads)
    .filter((values) => getMean(values) >= minMeanLoad)
    .map((values) => Math.max(...values) / getMean(values));
  return {
    whole: chats.whole,
    returned: chats.returned,
    cacheReuse,
    repeatedShare: chats.repeatedTokens / Math.max(1, chats.promptTokens),
    meanSkew: getMean(skews),
    maxSkew: Math.max(0, ...skews),
    controlBytesPerSecond,
    problems: Object.fromEntries(problems),
  };
}

/**
 * Formats the report as text.
 * @param report - Report to format.
 */
export function formatReport(report: Report): string {
  const width = Math.max(...report.promises.map(({ promise }) => promise.length));
  const promises = report.promises.map(
    ({ promise, held, evidence }) =>
      `  ${held ? "held  " : "BROKEN"}  ${promise.padEnd(width)}  ${evidence}`,
  );
  const summary = report.held ? "every promise held" : "not every promise held";
  const time = `seed ${String(report.seed)}, ${report.seconds.toFixed(1)} s`;
  return [
    "",
    "Promises",
    ...promises,
    "",
    ...formatMeasures(report.measures),
    "",
    `${summary} (${time})`,
  ].join("\n");
}

function formatMeasures(measures: Measures): string[] {
  const bytes = measures.controlBytesPerSecond.map((value) => value.toFixed(0)).join(", ");
  const problems = Object.entries(measures.problems)
    .map(([name, count]) => `${name} ${String(count)}`)
    .join(", ");
  return [
    "Measures",
    `  whole answers      ${String(measures.whole)}, ${String(measures.returned)} of them to returning chats`,
    `  cache reuse        ${measures.cacheReuse.toFixed(3)} of prompt tokens; ${measures.repeatedShare.toFixed(3)} repeat earlier turns`,
    `  skew               ${measures.meanSkew.toFixed(2)} on average, ${measures.maxSkew.toFixed(2)} at most (largest load over the mean)`,
    `  control bytes/s    ${bytes} (each daemon, sent and received)`,
    `  typed failures     ${problems === "" ? "none" : problems}`,
  ];
}
