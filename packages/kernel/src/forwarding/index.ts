export {
  checkRequest,
  type FreshnessBounds,
  type RefusalReason,
  type RequestApproval,
  type RequestIdentity,
  type RequestRefusal,
} from "./checkRequest.js";
export {
  decideRetry,
  isRepeatable,
  type AttemptEnd,
  type RequestProgress,
  type RetryDecision,
} from "./decideRetry.js";
export type {
  ForwardingOptions,
  HeaderCodec,
  PromptBlock,
  ReportedLoad,
  RequestHead,
  ResponseHead,
} from "./messages.js";
