import { parseArgs } from "node:util";
import { z } from "zod";
import { allKnowing, leastLoaded } from "./baselines.js";
import { KernelSitePolicy } from "./KernelSitePolicy.js";
import { siteScenarios } from "./scenarios.js";
import type { SiteFigures } from "./SiteMeter.js";
import type { SitePolicyFactory } from "./SitePolicy.js";
import { SiteRun } from "./SiteRun.js";

const optionsSchema = z.strictObject({
  scenario: z.string().optional(),
  seed: z.coerce.number().int().min(0).default(1),
  runs: z.coerce.number().int().min(1).max(1_000).default(3),
  json: z.boolean().default(false),
});

const policies: Readonly<Record<string, SitePolicyFactory>> = {
  router: (router, zone, getNow) => KernelSitePolicy.create(router, zone, getNow),
  "least-loaded": leastLoaded,
  "all-knowing": allKnowing,
};
const usageExitCode = 2;
const thousand = 1_000;

/** Simulates the scenarios under each policy and prints one line per run. */
function main(): void {
  const options = optionsSchema.safeParse(readArguments());
  if (!options.success) {
    process.stderr.write(`${options.error.message}\n`);
    process.exitCode = usageExitCode;
    return;
  }
  const { scenario: name, seed, runs, json } = options.data;
  for (const scenario of siteScenarios.filter((one) => name === undefined || one.name === name)) {
    for (const [policy, create] of Object.entries(policies)) {
      for (let run = 0; run < runs; run += 1) {
        const figures = SiteRun.simulate(scenario, create, seed + run);
        const row = { scenario: scenario.name, policy, seed: seed + run, ...figures };
        process.stdout.write(json ? `${JSON.stringify(row)}\n` : formatRow(row));
      }
    }
  }
}

function formatRow(
  row: SiteFigures & { readonly scenario: string; readonly policy: string; readonly seed: number },
): string {
  const inThousands = (tokens: number): string => String(Math.round(tokens / thousand)).padStart(6);
  const kinds = Object.entries(row.kinds).map(([kind, { refused, left, lost, first99 }]) => {
    const unserved = [refused, left, lost].join("/");
    return `${kind} ${unserved} ${first99.toFixed(0)}`;
  });
  return (
    `${row.scenario.padEnd(11)} ${row.policy.padEnd(12)} ${String(row.seed).padStart(3)} ` +
    `worth ${row.worth.toFixed(3)} read ${inThousands(row.tokensRead)} found ` +
    `${inThousands(row.tokensFound)} again ${inThousands(row.tokensReadAgain)} fetched ` +
    `${inThousands(row.tokensFetched)} over bound ${row.overBound.toFixed(4)} ` +
    `false refusals ${String(row.falseRefusals)} twice ${String(row.runsTwice)} | ${kinds.join(", ")}\n`
  );
}

function readArguments(): object {
  const { values } = parseArgs({
    options: {
      scenario: { type: "string" },
      seed: { type: "string" },
      runs: { type: "string" },
      json: { type: "boolean" },
    },
  });
  return values;
}

main();
