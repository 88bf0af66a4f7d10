export { allowsBody } from "./allowsBody.js";
export { describeAnswer } from "./describeAnswer.js";
export { canConnect } from "./connect.js";
export { isCompleteBy, type EndEvidence } from "./EndEvidence.js";
export type { HealthRequest } from "./LivenessConnection.js";
export { ProcessWatch, type AnswerTimes } from "./ProcessWatch.js";
export { ProcessWatches, type ProcessWatchUse } from "./ProcessWatches.js";
export { ConnectionPool } from "./ConnectionPool.js";
export { ReachabilityTask } from "./ReachabilityTask.js";
export {
  Exchange,
  type ExchangeFailure,
  type ExchangeListener,
  type OutgoingRequest,
} from "./Exchange.js";
export { ReadPacer, type ReadPacerDependencies } from "./ReadPacer.js";
export type { ReadTurn } from "./ReadTurn.js";
export { wasReset } from "./wasReset.js";
