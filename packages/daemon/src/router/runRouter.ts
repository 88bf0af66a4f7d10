import { headerCodec, StoreClient } from "@pistachioway/platform";
import { readFile, stat } from "node:fs/promises";
import { createStandardOutput, StreamLog } from "../log/StreamLog.js";
import { ProcessEnd } from "./ProcessEnd.js";
import { Router } from "./Router.js";
import { parseRouterSettings } from "./parseRouterSettings.js";

const settingsExitCode = 2;
const startExitCode = 5;
const taskExitCode = 6;
const settingsCheckIntervalMilliseconds = 2_000;

/**
 * Runs a daemon that reads the platform's registry, until a signal stops it.
 * @param file - Path of the settings file.
 */
export async function runRouter(file: string): Promise<void> {
  const settings = parseRouterSettings(await readFile(file, "utf8"), file);
  if (settings.isErr) {
    process.stderr.write(`${settings.error.message}\n`);
    process.exitCode = settingsExitCode;
    return;
  }
  const { process: self, log: logSettings, registry } = settings.value;
  const output = createStandardOutput();
  const log = StreamLog.create(output, () => performance.now(), logSettings.level, {
    daemon: self.name,
  });
  const router = Router.create({
    settings: settings.value,
    registry: StoreClient.create(registry.address),
    codec: headerCodec,
    log,
    onTaskFailed: (error) => {
      end.fail("daemon.task-failed", error, taskExitCode);
    },
  });
  const end = ProcessEnd.create(router, log);
  process.on("SIGTERM", (signal) => {
    end.handleSignal(signal);
  });
  process.on("SIGINT", (signal) => {
    end.handleSignal(signal);
  });
  logUncaughtErrors(log);
  watchSettings(file, router, log);
  await startRouter(router, end);
}

/** Starts a router, and ends the process if that is impossible. */
async function startRouter(router: Router, end: ProcessEnd): Promise<void> {
  try {
    await router.start();
  } catch (error) {
    end.fail(
      "daemon.start-failed",
      error instanceof Error ? error : new Error(String(error)),
      startExitCode,
    );
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

/** Reloads the settings at SIGHUP, and when the modification time of the file changes. */
function watchSettings(file: string, router: Router, log: StreamLog): void {
  let writtenAt: number | undefined;
  const reload = async (): Promise<void> => {
    const settings = parseRouterSettings(await readFile(file, "utf8"), file);
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
  process.on("SIGHUP", () => {
    reload().catch(report);
  });
  setInterval(() => {
    check().catch(report);
  }, settingsCheckIntervalMilliseconds).unref();
}
