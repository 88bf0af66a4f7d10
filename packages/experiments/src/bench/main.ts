import { parseArgs } from "node:util";
import { writeFileSync } from "node:fs";
import { deployments, scale, type Deployment } from "./deployment.js";
import { BenchOptionError } from "./BenchOptionError.js";
import { createPlot } from "./plot.js";
import { policyFactories } from "./policies/index.js";
import { formatTable, toRow, type BenchRow } from "./report.js";
import { scenarios, type Scenario } from "./scenario.js";
import { runTrial, type TrialResult } from "./trial.js";

const { values } = parseArgs({
  options: {
    json: { type: "boolean", default: false },
    seed: { type: "string", default: "1" },
    scenario: { type: "string" },
    deployment: { type: "string" },
    policy: { type: "string" },
    scale: { type: "boolean", default: false },
    plot: { type: "string" },
  },
});

function main(): void {
  const chosen = getSelected(
    "deployment",
    values.scale ? [scale] : [...deployments, scale],
    values.deployment,
  ).filter((entry) => values.scale || values.deployment !== undefined || entry !== scale);
  const rows: BenchRow[] = [];
  for (const deployment of chosen) {
    for (const scenario of getSelected("scenario", scenarios, values.scenario)) {
      rows.push(...runScenario(deployment, scenario));
    }
  }
  console.log(values.json ? JSON.stringify(rows, null, 1) : formatTable(rows));
}

function runScenario(deployment: Deployment, scenario: Scenario): BenchRow[] {
  const oracle = run(deployment, scenario, "oracle");
  const names = getPolicyNames();
  const results = names.map((name) =>
    name === "oracle" ? oracle : run(deployment, scenario, name),
  );
  const last = results.at(-1);
  if (values.plot !== undefined && last !== undefined) {
    writeFileSync(values.plot, createPlot(deployment, scenario, last));
  }
  return results.map((result) => toRow(deployment, scenario, result, oracle));
}

function getPolicyNames(): string[] {
  const known = [...policyFactories.keys()];
  if (values.policy === undefined) {
    return known;
  }
  const names = values.policy.split(",");
  for (const name of names) {
    getPolicyOrThrow(name);
  }
  return names;
}

function getPolicyOrThrow(name: string) {
  const factory = policyFactories.get(name);
  if (factory === undefined) {
    throw new BenchOptionError("policy", name, [...policyFactories.keys()]);
  }
  return factory;
}

function run(deployment: Deployment, scenario: Scenario, policy: string): TrialResult {
  return runTrial({
    deployment,
    scenario,
    seed: getSeed(),
    createPolicy: getPolicyOrThrow(policy),
    keepsSamples: values.plot !== undefined,
  });
}

function getSeed(): number {
  const seed = Number(values.seed);
  if (!Number.isSafeInteger(seed)) {
    throw new BenchOptionError("seed", values.seed, ["a whole number"]);
  }
  return seed;
}

function getSelected<Entry extends { readonly name: string }>(
  option: string,
  entries: readonly Entry[],
  name: string | undefined,
): readonly Entry[] {
  const chosen = name === undefined ? entries : entries.filter((entry) => entry.name === name);
  if (chosen.length === 0) {
    const allowed = entries.map((entry) => entry.name);
    throw new BenchOptionError(option, name ?? "", allowed);
  }
  return chosen;
}

try {
  main();
} catch (error) {
  if (!(error instanceof BenchOptionError)) {
    throw error;
  }
  console.error(error.message);
  process.exitCode = 2;
}
