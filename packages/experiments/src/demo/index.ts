export type { Observations } from "./observations.js";
export { getVerdicts } from "./verdicts.js";
export type { Verdict } from "./verdicts.js";
