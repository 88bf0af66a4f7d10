export { parseOptions, run } from "./run.js";
export type { Standin } from "./run.js";
