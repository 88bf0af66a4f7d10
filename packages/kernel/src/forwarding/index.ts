export {
  checkRequest,
  type FreshnessBounds,
  type RefusalReason,
  type RequestIdentity,
  type RequestApproval,
  type RequestRefusal,
} from "./checkRequest.js";
export {
  decideRetry,
  isRepeatable,
  type AttemptEnd,
  type RetryDecision,
  type RequestProgress,
} from "./decideRetry.js";
export type {
  ResponseHead,
  HeaderCodec,
  PromptBlock,
  ReportedLoad,
  RequestHead,
  ForwardingOptions,
} from "./messages.js";
