export {
  checkRequest,
  type FreshnessBounds,
  type RefusalReason,
  type RequestIdentity,
  type RequestPass,
  type RequestRefusal,
} from "./checkRequest.js";
export {
  decideAttempt,
  isRepeatable,
  type AttemptEnd,
  type AttemptVerdict,
  type RequestProgress,
} from "./decideAttempt.js";
export type {
  AnswerHead,
  Dialect,
  PromptPart,
  ReportedLoad,
  RequestHead,
  SendTerms,
} from "./messages.js";
