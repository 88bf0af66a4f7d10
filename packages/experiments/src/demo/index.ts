export type { Observations } from "./observations.js";
export { evaluatePromises } from "./evaluations.js";
export type { PromiseEvaluation } from "./evaluations.js";
