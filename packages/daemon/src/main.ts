import { readFile } from "node:fs/promises";
import { parseArgs } from "node:util";
import "reflect-metadata";
import { Daemon } from "./daemon/index.js";
import { Log } from "./log/index.js";
import { parseSettings } from "./settings/index.js";

const usage = "usage: pistachiowayd --settings FILE";
const settingsExitCode = 2;
const forcedExitCode = 3;
const cutOffExitCode = 4;

async function main(): Promise<void> {
  const { values } = parseArgs({ options: { settings: { type: "string" } } });
  if (values.settings === undefined) {
    process.stderr.write(`${usage}\n`);
    process.exitCode = settingsExitCode;
    return;
  }
  const text = await readFile(values.settings, "utf8");
  const settings = parseSettings(text, values.settings);
  if (settings.isErr) {
    process.stderr.write(`${settings.error.message}\n`);
    process.exitCode = settingsExitCode;
    return;
  }
  const daemon = await Daemon.create(settings.value);
  await daemon.start();
  stopOnSignals(daemon, Log.create(settings.value.log.level, {}));
}

/** Stops gracefully at the first signal, and at once at a second one. */
function stopOnSignals(daemon: Daemon, log: Log): void {
  let isStopping = false;
  const stop = (signal: NodeJS.Signals): void => {
    if (isStopping) {
      log.write("warn", "daemon.forced-stop", { signal });
      process.exit(forcedExitCode);
    }
    isStopping = true;
    void daemon.stop().then((isIdle) => process.exit(isIdle ? 0 : cutOffExitCode));
  };
  process.on("SIGTERM", stop);
  process.on("SIGINT", stop);
}

await main();
