export { Log } from "./Log.js";
export type { Fields, FieldValue, LogLevel } from "./Log.js";
