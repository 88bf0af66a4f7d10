export { runCommandLine } from "./main.js";
export { exitCodes } from "./exitCodes.js";
export { mergeEvents } from "./timeline/index.js";
export type { MergedEvent } from "./timeline/index.js";
