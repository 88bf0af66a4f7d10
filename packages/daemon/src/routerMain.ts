import { parseArgs } from "node:util";
import { runRouter } from "./router/runRouter.js";

const usage = "usage: pistachioway-router [--settings FILE], or FILE in PISTACHIOWAY_BOOT";
const usageExitCode = 2;

const { values } = parseArgs({ options: { settings: { type: "string" } } });
const file = values.settings ?? process.env["PISTACHIOWAY_BOOT"];
if (file === undefined) {
  process.stderr.write(`${usage}\n`);
  process.exitCode = usageExitCode;
} else {
  await runRouter(file);
}
