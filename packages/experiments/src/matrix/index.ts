export { getCellName, runMatrix } from "./run.js";
export { matrixOptionsSchema, promiseNames } from "./schema.js";
export type { CellResult, MatrixOptions, PromiseName } from "./schema.js";
