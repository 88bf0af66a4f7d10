export { Kernel } from "./Kernel.js";
export type { Instant, Plugin, Step } from "./Plugin.js";
export { PluginRegistry, pluginRegistry } from "./PluginRegistry.js";
