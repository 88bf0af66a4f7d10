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
const startExitCode = 5;
const stopSignals = ["SIGTERM", "SIGINT"] as const;

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
  const log = Log.create(settings.value.log.level, {});
  const daemon = await Daemon.create(settings.value);
  const exitAtSignal = (): void => process.exit(0);
  stopSignals.forEach((signal) => process.on(signal, exitAtSignal));
  try {
    await daemon.start();
  } catch (error) {
    const detail = error instanceof Error ? error.message : String(error);
    log.write("error", "daemon.start-failed", { detail });
    process.exit(startExitCode);
  }
  stopSignals.forEach((signal) => process.off(signal, exitAtSignal));
  stopOnSignals(daemon, log);
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
  stopSignals.forEach((signal) => process.on(signal, stop));
}

await main();
