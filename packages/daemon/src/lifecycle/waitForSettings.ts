import { formatLine } from "../log/line.js";
import { readSettings, type SettingsParser } from "../settings/readSettings.js";
import { exitCodes } from "./exitCodes.js";
import type { PendingSignals } from "./PendingSignals.js";

/** Time in which a settings file that is missing or half written can still be completed. */
const settingsTimeoutMilliseconds = 3_000;

/**
 * Reads the settings of a process that starts, and ends the process when there are none. A signal for a stop ends it too.
 * @param file - Path of the settings file.
 * @param parse - Parses and validates its text.
 * @param signals - Signals of the process.
 */
export async function waitForSettings<T>(
  file: string,
  parse: SettingsParser<T>,
  signals: PendingSignals,
): Promise<T> {
  signals.handle((signal) => {
    // Settings are yet to be read, so that only a stop has something to do.
    if (signal !== "SIGHUP") {
      process.exit(0);
    }
  });
  const getNow = (): number => performance.now();
  const settings = await readSettings(file, parse, {
    deadline: getNow() + settingsTimeoutMilliseconds,
    getNow,
    onRefused: ({ message }) => {
      const fields = { level: "warn", event: "settings.refused", detail: message };
      process.stdout.write(`${formatLine({ at: new Date().toISOString(), ...fields })}\n`);
    },
  });
  if (settings.isErr) {
    process.stderr.write(`${settings.error.message}\n`);
    process.exit(exitCodes.settings);
  }
  return settings.value;
}
