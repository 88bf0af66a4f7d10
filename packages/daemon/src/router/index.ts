export { parseRouterSettings } from "./parseRouterSettings.js";
export { Router, type RouterParts } from "./Router.js";
export { routerSettingsSchema, type RouterSettings } from "./settings.js";
