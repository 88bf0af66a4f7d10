export { PlatformTask } from "./PlatformTask.js";
export type { PlatformValue, PublishedConfiguration } from "./PlatformReader.js";
