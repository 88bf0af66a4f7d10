export { formatEvents } from "./formatEvents.js";
export { mergeEvents } from "./mergeEvents.js";
export type { MergedEvent } from "./mergeEvents.js";
export { renderPage } from "./renderPage.js";
export type { Lane } from "./renderPage.js";
