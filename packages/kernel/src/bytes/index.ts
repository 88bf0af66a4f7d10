export { BodyBuffer, type BodyBound, type BodyLimits } from "./BodyBuffer.js";
export { collectBody } from "./collectBody.js";
export { collectText, TextTooLargeError } from "./collectText.js";
export { MemoryBudget } from "./MemoryBudget.js";
export type { MemoryShare } from "./MemoryShare.js";
