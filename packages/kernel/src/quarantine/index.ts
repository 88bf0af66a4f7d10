export { withstoodMilliseconds } from "./constants.js";
export {
  ContentQuarantine,
  type LostRequest,
  type ContentQuarantineOptions,
  type QuarantineChange,
  type QuarantinedContent,
  type RequestContent,
} from "./ContentQuarantine.js";
export { getReleaseDelay } from "./getReleaseDelay.js";
export type { Quarantine } from "./SuspectContent.js";
