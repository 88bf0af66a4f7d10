export type { RequestWork } from "./RequestWork.js";
export { WorkEstimator } from "./WorkEstimator.js";
