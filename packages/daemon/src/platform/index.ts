export { PlatformTask } from "./PlatformTask.js";
export type { ConfigurationReading, PublishedConfiguration } from "./PlatformTask.js";
export type { PlatformValue } from "./readValue.js";
