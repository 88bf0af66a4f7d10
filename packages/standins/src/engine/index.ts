export { defaultAnswerTokens, getExpectedAnswer } from "./answer.js";
export type { AnswerInput } from "./answer.js";
export { Engine } from "./Engine.js";
export { EngineRecords } from "./EngineRecords.js";
export type { EngineCounts, RequestOutcome, RequestRecord } from "./EngineRecords.js";
export { engineOptionsSchema } from "./schema.js";
export type { EngineFaults, EngineOptions } from "./schema.js";
