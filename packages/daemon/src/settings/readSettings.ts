import { readFile } from "node:fs/promises";
import { setTimeout as delay } from "node:timers/promises";
import { Result } from "true-myth";
import { SettingsError } from "../errors/SettingsError.js";

/** Parses and validates the text of a settings file, whose name goes into messages. */
export type SettingsParser<T> = (text: string, file: string) => Result<T, SettingsError>;

/** How long, and by what clock, a file is tried. */
export interface SettingsAttempts {
  /** When the last attempt ends, in monotonic milliseconds. */
  readonly deadline: number;
  /** Reads the monotonic clock, in milliseconds. */
  readonly getNow: () => number;
  /** Called with the first error, and with each that differs from the one before. */
  readonly onRefused: (error: SettingsError) => void;
}

const retryIntervalMilliseconds = 100;

/**
 * Reads and validates a settings file. A file that is missing, or not written to its end, is read again.
 * @param file - Path of the file.
 * @param parse - Parses and validates its text.
 * @param attempts - How long it is tried.
 */
export async function readSettings<T>(
  file: string,
  parse: SettingsParser<T>,
  { deadline, getNow, onRefused }: SettingsAttempts,
): Promise<Result<T, SettingsError>> {
  let lastMessage: string | undefined;
  for (;;) {
    const settings = await readSettingsOnce(file, parse);
    if (settings.isOk || getNow() >= deadline) {
      return settings;
    }
    if (settings.error.message !== lastMessage) {
      lastMessage = settings.error.message;
      onRefused(settings.error);
    }
    await delay(retryIntervalMilliseconds);
  }
}

/**
 * Reads and validates a settings file.
 * @param file - Path of the file.
 * @param parse - Parses and validates its text.
 */
export async function readSettingsOnce<T>(
  file: string,
  parse: SettingsParser<T>,
): Promise<Result<T, SettingsError>> {
  try {
    return parse(await readFile(file, "utf8"), file);
  } catch (error) {
    const reason = error instanceof Error && "code" in error ? String(error.code) : String(error);
    const issue = { path: "", line: undefined, allowed: `cannot be read: ${reason}` };
    return Result.err(SettingsError.create(file, [{ ...issue, value: undefined }]));
  }
}
