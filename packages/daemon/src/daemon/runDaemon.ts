import "reflect-metadata";
import { exitCodes } from "../lifecycle/exitCodes.js";
import { logUncaughtErrors } from "../lifecycle/logUncaughtErrors.js";
import type { DaemonSignal, PendingSignals } from "../lifecycle/PendingSignals.js";
import { ProcessEnd } from "../lifecycle/ProcessEnd.js";
import { getMessage } from "../lifecycle/TaskError.js";
import { waitForSettings } from "../lifecycle/waitForSettings.js";
import { Log } from "../log/index.js";
import { parseSettings, type Settings } from "../settings/index.js";
import { Daemon } from "./Daemon.js";

/**
 * Runs a daemon with the product's own interface, until a signal stops it.
 * @param file - Path of the settings file.
 * @param signals - Signals of the process.
 */
export async function runDaemon(file: string, signals: PendingSignals): Promise<void> {
  const settings = await waitForSettings(file, parseSettings, signals);
  await startDaemon(settings, signals);
}

/** Starts a daemon, and ends the process if that is impossible. */
async function startDaemon(settings: Settings, signals: PendingSignals): Promise<void> {
  const log = Log.create(settings.log.level, {});
  logUncaughtErrors((level, event, fields) => {
    log.write(level, event, fields);
  });
  const failStart = (error: unknown): never => {
    log.write("error", "daemon.start-failed", { detail: getMessage(error) });
    process.exit(exitCodes.start);
  };
  const daemon = await Daemon.create(settings, (error) => {
    end.fail("daemon.task-failed", error, exitCodes.task);
  }).catch(failStart);
  const end = ProcessEnd.create(daemon, log);
  signals.handle((signal) => {
    // Requests are yet to be served, so that a stop has nothing to wait for.
    handleSignal(signal, log, () => process.exit(0));
  });
  await daemon.start().catch(failStart);
  signals.handle((signal) => {
    handleSignal(signal, log, () => {
      end.handleSignal(signal);
    });
  });
}

/** Handles a signal: one for a reload does nothing, as settings apply only at the start of the process. */
function handleSignal(signal: DaemonSignal, log: Log, stop: () => void): void {
  if (signal === "SIGHUP") {
    const detail = "the settings apply at the start of the process only";
    log.write("warn", "daemon.reload-refused", { detail });
    return;
  }
  stop();
}
