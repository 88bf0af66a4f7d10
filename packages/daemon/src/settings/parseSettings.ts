import type { Result } from "true-myth";
import type { SettingsError } from "../errors/index.js";
import { parseDocument } from "./parseDocument.js";
import { settingsSchema, type Settings } from "./schema.js";

/**
 * Parses and checks a settings file. Every fault is listed at once.
 * @param text - Text of the TOML file.
 * @param file - Name of the file, for messages.
 */
export function parseSettings(text: string, file: string): Result<Settings, SettingsError> {
  return parseDocument(text, file, settingsSchema);
}
