import type { Result } from "true-myth";
import type { SettingsError } from "../errors/SettingsError.js";
import { parseDocument } from "../settings/parseDocument.js";
import { routerSettingsSchema, type RouterSettings } from "./settings.js";

/**
 * Parses and validates the settings file of a daemon that reads a registry. The error lists every
 * invalid setting.
 * @param text - Text of the TOML file.
 * @param file - Name of the file, for messages.
 */
export function parseRouterSettings(
  text: string,
  file: string,
): Result<RouterSettings, SettingsError> {
  return parseDocument(text, file, routerSettingsSchema);
}
