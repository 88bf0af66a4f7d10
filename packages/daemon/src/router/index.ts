export { getStartShare, type StartShareContext } from "./getStartShare.js";
export { parseRouterSettings } from "./parseRouterSettings.js";
export { Router, type RouterDependencies } from "./Router.js";
export { routerSettingsSchema, type RouterSettings } from "./settings.js";
