export { continuesStream, isEventStream } from "./continuesStream.js";
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
export { getAnswerMeaning, type AnswerMeaning, type AnswerStatement } from "./getAnswerMeaning.js";
export { isAllowedByNewer, type ApprovedRequest } from "./isAllowedByNewer.js";
export { getRetryAfterSeconds } from "./getRetryAfterSeconds.js";
export { getSharedPromptBlocks } from "./getSharedPromptBlocks.js";
export {
  applyFleetNotices,
  applyResponseHead,
  toFleetNotice,
  type NoticeTarget,
  type UpstreamNotice,
} from "./notices.js";
export type {
  ForwardingOptions,
  HeaderCodec,
  PromptBlock,
  ReportedLoad,
  RequestedRest,
  RequestHead,
  ResponseHead,
  StatedLimit,
  TokenCounts,
} from "./messages.js";
