import { headerCodec, StoreClient } from "@pistachioway/platform";
import { stat } from "node:fs/promises";
import { formatLine } from "../log/line.js";
import { createStandardOutput, StreamLog } from "../log/StreamLog.js";
import { readMonotonicClock } from "./clocks.js";
import { ProcessEnd } from "./ProcessEnd.js";
import { readSettings, readSettingsOnce } from "./readSettings.js";
import { Router } from "./Router.js";
import type { RouterSettings } from "./settings.js";
import type { PendingSignals } from "./PendingSignals.js";

const settingsExitCode = 2;
const startExitCode = 5;
const taskExitCode = 6;
const settingsCheckIntervalMilliseconds = 2_000;
/** Time in which a settings file that is missing or half written can still be completed. */
const settingsTimeoutMilliseconds = 3_000;

/**
 * Runs a daemon that reads the platform's registry, until a signal stops it.
 * @param file - Path of the settings file.
 * @param signals - Signals of the process.
 */
export async function runRouter(file: string, signals: PendingSignals): Promise<void> {
  signals.handle((signal) => {
    // Settings are yet to be read, so that only a stop has something to do.
    if (signal !== "SIGHUP") {
      process.exit(0);
    }
  });
  const settings = await readSettings(file, {
    deadline: readMonotonicClock() + settingsTimeoutMilliseconds,
    getNow: readMonotonicClock,
    onRefused: ({ message }) => {
      const fields = { level: "warn", event: "settings.refused", detail: message };
      process.stdout.write(`${formatLine({ at: new Date().toISOString(), ...fields })}\n`);
    },
  });
  if (settings.isErr) {
    process.stderr.write(`${settings.error.message}\n`);
    process.exit(settingsExitCode);
  }
  await startRouter(file, settings.value, signals);
}

/** Starts a router, and ends the process if that is impossible. */
async function startRouter(
  file: string,
  settings: RouterSettings,
  signals: PendingSignals,
): Promise<void> {
  const output = createStandardOutput();
  const log = StreamLog.create(output, readMonotonicClock, settings.log.level, {
    daemon: settings.process.name,
  });
  const router = Router.create({
    settings,
    registry: StoreClient.create(settings.registry.address),
    codec: headerCodec,
    log,
    onTaskFailed: (error) => {
      end.fail("daemon.task-failed", error, taskExitCode);
    },
  });
  const end = ProcessEnd.create(router, log);
  logUncaughtErrors(log);
  const reload = watchSettings(file, router, log);
  signals.handle((signal) => {
    if (signal === "SIGHUP") {
      reload();
    } else {
      end.handleSignal(signal);
    }
  });
  try {
    await router.start();
  } catch (error) {
    const failure = error instanceof Error ? error : new Error(String(error));
    end.fail("daemon.start-failed", failure, startExitCode);
  }
}

function logUncaughtErrors(log: StreamLog): void {
  process.on("uncaughtException", (error) => {
    log.write("error", "daemon.fault", { detail: error.stack ?? error.message });
  });
  process.on("unhandledRejection", (reason) => {
    const detail = reason instanceof Error ? (reason.stack ?? reason.message) : String(reason);
    log.write("error", "daemon.fault", { detail });
  });
}

/**
 * Reloads the settings when the modification time of the file changes.
 * @returns Function that reloads them at once.
 */
function watchSettings(file: string, router: Router, log: StreamLog): () => void {
  let writtenAt: number | undefined;
  const reload = async (): Promise<void> => {
    const settings = await readSettingsOnce(file);
    settings.match({
      Ok: (value) => {
        router.reload(value);
      },
      Err: ({ message }) => {
        log.write("error", "daemon.reload-refused", { detail: message });
      },
    });
  };
  const report = (error: unknown): void => {
    const detail = error instanceof Error ? error.message : String(error);
    log.write("error", "daemon.reload-failed", { detail });
  };
  const check = async (): Promise<void> => {
    const { mtimeMs } = await stat(file);
    if (writtenAt !== undefined && mtimeMs !== writtenAt) {
      await reload();
    }
    writtenAt = mtimeMs;
  };
  setInterval(() => {
    check().catch(report);
  }, settingsCheckIntervalMilliseconds).unref();
  return () => {
    reload().catch(report);
  };
}
