import { parseArgs } from "node:util";
import type { PathCounts, VariantCounts } from "./OutcomeMeter.js";
import { OutcomeRun, type OutcomeResult } from "./OutcomeRun.js";
import { faultNames, outcomeOptionsSchema, type OutcomeOptions } from "./schema.js";

const failedExitCode = 1;
const usageExitCode = 2;
const interruptedExitCode = 130;

/** Runs one fault or all; exits with 1 if a request ran that had been refused, or ran twice, or a stream ended too early. */
async function main(): Promise<void> {
  const options = outcomeOptionsSchema.safeParse(readArguments());
  if (!options.success) {
    process.stderr.write(`${options.error.message}\n`);
    process.exit(usageExitCode);
  }
  for (const signal of ["SIGINT", "SIGTERM"] as const) {
    process.once(signal, () => process.exit(interruptedExitCode));
  }
  const { fault, json } = options.data;
  const results: OutcomeResult[] = [];
  for (const name of fault === "all" ? faultNames : [fault]) {
    const result = await OutcomeRun.run(options.data, name);
    results.push(result);
    process.stdout.write(json ? "" : `${formatResult(result, options.data)}\n`);
  }
  if (json) {
    process.stdout.write(`${JSON.stringify({ ...options.data, results })}\n`);
  }
  const isBroken = results.some(({ refused, twice, early }) => refused + twice + early > 0);
  process.exit(isBroken ? failedExitCode : 0);
}

function readArguments(): object {
  const { values } = parseArgs({
    options: {
      site: { type: "string" },
      seconds: { type: "string" },
      fault: { type: "string" },
      seed: { type: "string" },
      router: { type: "string" },
      scale: { type: "string" },
      engines: { type: "string" },
      entries: { type: "string" },
      unreached: { type: "string" },
      weights: { type: "string" },
      share: { type: "string" },
      json: { type: "boolean" },
    },
  });
  return values;
}

/**
 * Formats a result as key=value pairs. Each kind of fault has its faulty answers, REFUSED and TWICE; so have the requests
 * that went through a peer, whose number comes first, and those of each build where there are several.
 */
function formatResult(result: OutcomeResult, { site, seed, router }: OutcomeOptions): string {
  const {
    fault,
    disturbances,
    attempts,
    faulty,
    refused,
    twice,
    repeated,
    mixed,
    early,
    served,
    forwarded,
    builds,
    variants,
  } = result;
  const counts = {
    disturbances,
    attempts,
    faulty,
    REFUSED: refused,
    TWICE: twice,
    repeated,
    mixed,
    early,
  };
  const buildCounts = Object.entries(builds).map(
    ([path, each]) => [`build.${path}`, formatPath(each)] as const,
  );
  const variantCounts = Object.entries(variants).map(
    ([name, each]) => [name, formatVariant(each)] as const,
  );
  const pairs = [
    ...Object.entries({ site, seed, fault, ...counts, served: served.toFixed(3) }),
    ["peer", formatPath(forwarded)] as const,
    ...(router.length > 1 ? buildCounts : []),
    ...variantCounts,
  ];
  return pairs.map(([name, value]) => `${name}=${String(value)}`).join(" ");
}

function formatPath(counts: PathCounts): string {
  return `${String(counts.requests)}:${formatVariant(counts)}`;
}

function formatVariant({ faulty, refused, twice }: VariantCounts): string {
  return [faulty, refused, twice].join("/");
}

await main();
