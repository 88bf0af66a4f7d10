export { BodyBuffer, type BodyBound, type BodyLimits } from "./BodyBuffer.js";
export { MemoryBudget } from "./MemoryBudget.js";
export type { MemoryShare } from "./MemoryShare.js";
