export { getRequestWork, type RequestPrompt } from "./getRequestWork.js";
export type { ReadingEstimate } from "./ReadingSpeed.js";
export type { RequestWork } from "./RequestWork.js";
export { WorkEstimator, type PlacedWork, type ServiceEstimate } from "./WorkEstimator.js";
