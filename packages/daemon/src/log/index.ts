export { formatLine, type Fields, type FieldValue, type LogLevel } from "./line.js";
export { Log } from "./Log.js";
