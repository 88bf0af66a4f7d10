export { sendAttempt } from "./Attempt.js";
export type {
  AttemptAnswer,
  AttemptFailure,
  AttemptFailureClass,
  AttemptRequest,
} from "./Attempt.js";
export { Connections } from "./Connections.js";
export { readWhole } from "./readWhole.js";
export { discardBody } from "./discardBody.js";
export { isIntact } from "./isIntact.js";
