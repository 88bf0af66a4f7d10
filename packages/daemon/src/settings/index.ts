export { isRouterSettings } from "./parseDocument.js";
export { parseSettings } from "./parseSettings.js";
export { settingsSchema } from "./schema.js";
export type { Settings } from "./schema.js";
