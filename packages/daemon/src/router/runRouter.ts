import { headerCodec, StoreClient } from "@pistachioway/platform";
import { stat } from "node:fs/promises";
import { exitCodes } from "../lifecycle/exitCodes.js";
import { logUncaughtErrors } from "../lifecycle/logUncaughtErrors.js";
import type { PendingSignals } from "../lifecycle/PendingSignals.js";
import { ProcessEnd } from "../lifecycle/ProcessEnd.js";
import { waitForSettings } from "../lifecycle/waitForSettings.js";
import { createStandardOutput, StreamLog } from "../log/StreamLog.js";
import { readSettingsOnce } from "../settings/readSettings.js";
import { readMonotonicClock } from "./clocks.js";
import { parseRouterSettings } from "./parseRouterSettings.js";
import { Router } from "./Router.js";
import type { RouterSettings } from "./settings.js";

const settingsCheckIntervalMilliseconds = 2_000;

/**
 * Runs a daemon that reads the platform's registry, until a signal stops it.
 * @param file - Path of the settings file.
 * @param signals - Signals of the process.
 */
export async function runRouter(file: string, signals: PendingSignals): Promise<void> {
  const settings = await waitForSettings(file, parseRouterSettings, signals);
  await startRouter(file, settings, signals);
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
      end.fail("daemon.task-failed", error, exitCodes.task);
    },
  });
  const end = ProcessEnd.create(router, log);
  logUncaughtErrors((level, event, fields) => {
    log.write(level, event, fields);
  });
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
    end.fail("daemon.start-failed", failure, exitCodes.start);
  }
}

/**
 * Reloads the settings when the modification time of the file changes.
 * @returns Function that reloads them at once.
 */
function watchSettings(file: string, router: Router, log: StreamLog): () => void {
  let writtenAt: number | undefined;
  const reload = async (): Promise<void> => {
    const settings = await readSettingsOnce(file, parseRouterSettings);
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
