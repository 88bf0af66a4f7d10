import type { Result } from "true-myth";
import type { SettingsError } from "../errors/index.js";
import { parseDocument } from "./parseDocument.js";
import { settingsSchema, type Settings } from "./schema.js";

/**
 * Parses and validates a settings file. The error lists all issues.
 * @param text - Text of the TOML file.
 * @param file - Name of the file, used in messages.
 */
export function parseSettings(text: string, file: string): Result<Settings, SettingsError> {
  return parseDocument(text, file, settingsSchema);
}
