import type { Deployment } from "./deployment.js";
import type { Scenario } from "./scenario.js";
import type { TrialResult } from "./trial.js";

/** One row of the benchmark's results. */
export interface BenchRow {
  readonly scenario: string;
  readonly deployment: string;
  readonly policy: string;
  readonly cacheReuse: number;
  readonly cacheReuseOracle: number;
  readonly maxLoadOverMean: number;
  readonly bound: number;
  readonly timeOverBound: number;
  readonly controlBytesPerSecond: number;
}

const columns = [
  "deployment",
  "scenario",
  "policy",
  "reuse",
  "of oracle",
  "max/mean",
  "over",
  "B/s",
];

/**
 * Converts a result to a row of the report.
 * @param deployment - Deployment of the run.
 * @param scenario - Scenario of the run.
 * @param result - Result of the policy.
 * @param oracle - Result of the oracle policy in the same scenario.
 */
export function toRow(
  deployment: Deployment,
  scenario: Scenario,
  result: TrialResult,
  oracle: TrialResult,
): BenchRow {
  return {
    scenario: scenario.name,
    deployment: deployment.name,
    policy: result.policy,
    cacheReuse: round(result.cacheReuse, 4),
    cacheReuseOracle: round(oracle.cacheReuse, 4),
    maxLoadOverMean: round(result.maxLoadOverMean, 4),
    bound: result.bound,
    timeOverBound: round(result.timeOverBound, 6),
    controlBytesPerSecond: Math.round(result.controlBytesPerSecond),
  };
}

/**
 * Formats rows as a table with aligned columns.
 * @param rows - Rows to format.
 */
export function formatTable(rows: readonly BenchRow[]): string {
  const cells = [columns, ...rows.map(getCells)];
  const widths = columns.map((_, column) =>
    Math.max(...cells.map((line) => line[column]?.length ?? 0)),
  );
  return cells
    .map((line) => line.map((cell, column) => cell.padEnd(widths[column] ?? 0)).join("  "))
    .join("\n");
}

function getCells(row: BenchRow): string[] {
  return [
    row.deployment,
    row.scenario,
    row.policy,
    row.cacheReuse.toFixed(3),
    (row.cacheReuse / row.cacheReuseOracle).toFixed(3),
    row.maxLoadOverMean.toFixed(3),
    row.timeOverBound.toFixed(5),
    String(row.controlBytesPerSecond),
  ];
}

function round(value: number, digits: number): number {
  return Number(value.toFixed(digits));
}
