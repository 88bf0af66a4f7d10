export { ActError } from "./ActError.js";
export { ActKey } from "./ActKey.js";
export { ActsStartError } from "./ActsStartError.js";
export { actsPlugin, getActsSummary, getAdoptedHoldings } from "./actsPlugin.js";
export type { ActsSummary } from "./actsPlugin.js";
export type * from "./messages.js";
export { getActOutcome } from "./records.js";
export {
  actAnswerSchema,
  actConclusionSchema,
  actErrorCodeSchema,
  actOutcomeSchema,
  actTableSchema,
} from "./schema.js";
export type {
  ActAnswer,
  ActConclusion,
  ActErrorCode,
  ActOutcome,
  ActTable,
  ConcludedAct,
  HeaderField,
} from "./schema.js";
export { defaultActLimits } from "./state.js";
export type { ActsState } from "./state.js";
