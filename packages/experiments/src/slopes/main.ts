import { spawnSync } from "node:child_process";
import { fileURLToPath } from "node:url";
import { parseArgs } from "node:util";
import { measurePlacementCost } from "../bench/placementCost.js";
import { Fleet } from "../fleet/index.js";
import { measureConfiguration } from "./configuration.js";
import { measureControlTraffic } from "./control.js";
import { measureHop } from "./hop.js";
import { measureMemory } from "./memory.js";
import { formatFigures } from "./report.js";
import type { CapacityFigures, DecisionFigures, HopFigures } from "./schema.js";

const team = "routes";
const placements = 5_000;

/** Measures and prints the cost figures that docs/CAPACITY.md is based on. */
async function main(): Promise<void> {
  const { values } = parseArgs({
    options: { json: { type: "boolean", default: false }, section: { type: "string" } },
  });
  const isSelected = (section: keyof CapacityFigures): boolean =>
    values.section === undefined || values.section === section;
  const figures: CapacityFigures = {
    decision: isSelected("decision") ? measureDecisions() : [],
    memory: isSelected("memory") ? measureMemory() : [],
    configuration: isSelected("configuration") ? measureConfigurations() : [],
    hop: isSelected("hop") ? await measureHops() : [],
    control: isSelected("control") ? await measureControls() : [],
  };
  const text = values.json ? JSON.stringify(figures, undefined, 2) : formatFigures(figures);
  process.stdout.write(`${text}\n`);
}

function measureDecisions(): DecisionFigures[] {
  return [
    { engines: 13, daemons: 5 },
    { engines: 310, daemons: 35 },
  ].map((sizes) => measurePlacementCost({ ...sizes, placements }));
}

function measureConfigurations(): CapacityFigures["configuration"] {
  return [
    { engines: 13, teams: 10 },
    { engines: 3_100, teams: 3_000 },
    { engines: 3_100, teams: 6_000 },
  ].map(measureConfiguration);
}

async function measureHops(): Promise<HopFigures[]> {
  const options = { tokenMilliseconds: 0, slots: 1_024 };
  const engines = ["e1", "e2", "e3"].map((name) => ({ name, zone: "north", options }));
  const daemons = [{ name: "d1", zone: "north" }];
  const fleet = await Fleet.start({ daemons, engines, services: [], teams: [team] });
  try {
    const figures: HopFigures[] = [];
    for (const concurrency of [1, 16, 64]) {
      figures.push(...(await measureHop(fleet, "d1", team, concurrency)));
    }
    return figures;
  } finally {
    await fleet.stop();
  }
}

async function measureControls(): Promise<CapacityFigures["control"]> {
  const trials = [
    { daemons: 3, requestsPerSecond: 0 },
    { daemons: 5, requestsPerSecond: 0 },
    { daemons: 9, requestsPerSecond: 0 },
    { daemons: 5, requestsPerSecond: 7 },
    { daemons: 5, requestsPerSecond: 14 },
  ];
  const figures: CapacityFigures["control"][number][] = [];
  for (const { daemons, requestsPerSecond } of trials) {
    figures.push(await measureControlTraffic(daemons, requestsPerSecond));
  }
  return figures;
}

/** Heap measurements need a garbage collection before, which only "--expose-gc" makes available. */
function restartWithGarbageCollector(): void {
  const args = ["--expose-gc", fileURLToPath(import.meta.url), ...process.argv.slice(2)];
  process.exitCode = spawnSync(process.execPath, args, { stdio: "inherit" }).status ?? 1;
}

if (globalThis.gc === undefined) {
  restartWithGarbageCollector();
} else {
  await main();
}
