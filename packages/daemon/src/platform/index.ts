export { PlatformTask } from "./PlatformTask.js";
export type { ConfigurationReadResult, PublishedConfiguration } from "./PlatformTask.js";
export type { PlatformValue } from "./readValue.js";
