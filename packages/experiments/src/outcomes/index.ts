export { Engine, type EngineOptions } from "./Engine.js";
export { FaultMixture } from "./FaultMixture.js";
export { getForwarding } from "./getForwarding.js";
export type { CallerAnswer } from "./OutcomeCaller.js";
export { OutcomeMeter, type OutcomeCounts } from "./OutcomeMeter.js";
export { OutcomeRun, type OutcomeResult } from "./OutcomeRun.js";
export { outcomeOptionsSchema, type FaultName, type OutcomeOptions } from "./schema.js";
export { sites } from "./sites.js";
