import { parseArgs } from "node:util";
import { exitCodes } from "./lifecycle/exitCodes.js";
import { PendingSignals } from "./lifecycle/PendingSignals.js";

const usage = "usage: pistachiowayd --settings FILE";

// Signals are kept before the rest of the program is loaded, which takes a while.
const signals = PendingSignals.create();
const { values } = parseArgs({ options: { settings: { type: "string" } } });
if (values.settings === undefined) {
  process.stderr.write(`${usage}\n`);
  process.exit(exitCodes.settings);
}
const { runDaemon } = await import("./daemon/runDaemon.js");
await runDaemon(values.settings, signals);
