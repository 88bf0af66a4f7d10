import type { Fields, LogLevel } from "../log/line.js";

/** Writes one line to the log of the process. */
export type LogWriter = (level: LogLevel, event: string, fields: Fields) => void;

/**
 * Logs the errors of the process that nothing handles, which then do not end it.
 * @param write - Writes to the log.
 */
export function logUncaughtErrors(write: LogWriter): void {
  const log = (error: unknown): void => {
    const detail = error instanceof Error ? (error.stack ?? error.message) : String(error);
    write("error", "daemon.fault", { detail });
  };
  process.on("uncaughtException", log);
  process.on("unhandledRejection", log);
}
