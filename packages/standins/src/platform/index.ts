export { CallCounter } from "./CallCounter.js";
export { History } from "./History.js";
export type { Version } from "./History.js";
export { Platform } from "./Platform.js";
export { platformOptionsSchema } from "./schema.js";
export type { Availability, PlatformOptions } from "./schema.js";
