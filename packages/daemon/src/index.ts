export { getEngineChatId } from "./chat/index.js";
export { Daemon } from "./daemon/index.js";
export { SettingsError } from "./errors/index.js";
export type { SettingsIssue } from "./errors/index.js";
export { parseSettings, settingsSchema } from "./settings/index.js";
export type { Settings } from "./settings/index.js";
