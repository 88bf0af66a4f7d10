export { sendAttempt } from "./sendAttempt.js";
export type {
  AttemptResponse,
  AttemptFailure,
  AttemptFailureClass,
  AttemptRequest,
} from "./sendAttempt.js";
export { Connections } from "./Connections.js";
export { isNeverSent } from "./neverSent.js";
export { mayHaveRun } from "./mayHaveRun.js";
export { toAttemptedProblem } from "./toAttemptedProblem.js";
export { readWholeBody } from "./readWholeBody.js";
export { discardBody } from "./discardBody.js";
export { hasMatchingDigest } from "./hasMatchingDigest.js";
