import { parseArgs } from "node:util";
import { runMatrix } from "./run.js";
import { matrixOptionsSchema, type CellResult } from "./schema.js";

const failedExitCode = 1;
const usageExitCode = 2;
const interruptedExitCode = 130;

/** Runs the fault matrix and prints its cells; exits with 1 when a promise was broken. */
async function main(): Promise<void> {
  const options = matrixOptionsSchema.safeParse(readArguments());
  if (!options.success) {
    process.stderr.write(`${options.error.message}\n`);
    process.exit(usageExitCode);
  }
  endProcessesOnSignals();
  const { json } = options.data;
  const print = json ? () => undefined : printCell;
  const cells = await runMatrix(options.data, print);
  if (json) {
    process.stdout.write(`${JSON.stringify({ cells })}\n`);
  } else {
    printSummary(cells);
  }
  process.exit(cells.length > 0 && cells.every(({ held }) => held) ? 0 : failedExitCode);
}

/** Exits through `process.exit` on a signal, so that exit listeners kill the fleet's processes. */
function endProcessesOnSignals(): void {
  for (const signal of ["SIGINT", "SIGTERM"] as const) {
    process.once(signal, () => process.exit(interruptedExitCode));
  }
}

function readArguments(): object {
  const { values } = parseArgs({
    options: {
      json: { type: "boolean" },
      quick: { type: "boolean" },
      seed: { type: "string" },
      without: { type: "string" },
      cell: { type: "string" },
    },
  });
  return values;
}

function printCell({ promise, fault, step, held, figures }: CellResult): void {
  const name = `${promise}/${fault}/${step}`;
  process.stdout.write(`${held ? "held  " : "BROKEN"} ${name} ${JSON.stringify(figures)}\n`);
}

function printSummary(cells: readonly CellResult[]): void {
  const held = cells.filter((cell) => cell.held).length;
  process.stdout.write(`${String(held)} of ${String(cells.length)} cells held\n`);
}

await main();
