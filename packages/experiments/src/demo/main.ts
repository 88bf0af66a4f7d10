import { parseArgs } from "node:util";
import { Demo } from "./Demo.js";
import { createLayout } from "./layout.js";
import { formatReport, getMeasures, type Report } from "./report.js";
import { evaluatePromises } from "./evaluations.js";

const defaultSeed = 20_261_203;

async function main(): Promise<void> {
  const { values } = parseArgs({
    options: {
      json: { type: "boolean", default: false },
      seed: { type: "string" },
      without: { type: "string", multiple: true, default: [] },
    },
  });
  const seed = Number(values.seed ?? defaultSeed);
  const startedAt = performance.now();
  const getSeconds = () => (performance.now() - startedAt) / 1_000;
  const reportStep = (step: string) => {
    process.stderr.write(`${getSeconds().toFixed(1).padStart(5)} s  ${step}\n`);
  };
  const observations = await Demo.run(await createLayout(values.without), seed, reportStep);
  const promises = evaluatePromises(observations);
  const held = promises.every((evaluation) => evaluation.held);
  const report: Report = {
    held,
    seed,
    seconds: getSeconds(),
    promises,
    measures: getMeasures(observations),
  };
  process.stdout.write(`${values.json ? JSON.stringify(report) : formatReport(report)}\n`);
  process.exitCode = held ? 0 : 1;
}

await main();
