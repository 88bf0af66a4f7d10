import { parseArgs } from "node:util";
import { PendingSignals } from "./lifecycle/PendingSignals.js";

const usage = "usage: pistachioway-router [--settings FILE], or FILE in PISTACHIOWAY_BOOT";
const usageExitCode = 2;

// Signals are kept before the rest of the program is loaded, which takes a while.
const signals = PendingSignals.create();
const { values } = parseArgs({ options: { settings: { type: "string" } } });
const file = values.settings ?? process.env["PISTACHIOWAY_BOOT"];
if (file === undefined) {
  process.stderr.write(`${usage}\n`);
  process.exit(usageExitCode);
}
const { runRouter } = await import("./router/runRouter.js");
await runRouter(file, signals);
