export { allowsBody } from "./allowsBody.js";
export { describeAnswer } from "./describeAnswer.js";
export { canConnect, isStillServing } from "./connect.js";
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
