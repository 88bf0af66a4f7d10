import type { Result } from "true-myth";
import type { SettingsError } from "../errors/SettingsError.js";
import { parseDocument } from "../settings/parseDocument.js";
import { routerSettingsSchema, type RouterSettings } from "./settings.js";

/**
 * Parses and checks the settings file of a daemon that follows a registry. Every fault is listed.
 * @param text - Text of the TOML file.
 * @param file - Name of the file, for messages.
 */
export function parseRouterSettings(
  text: string,
  file: string,
): Result<RouterSettings, SettingsError> {
  return parseDocument(text, file, routerSettingsSchema);
}
