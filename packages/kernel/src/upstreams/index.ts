export {
  chooseUpstream,
  guessFormerUpstream,
  type ChosenPath,
  type UpstreamChoice,
  type UpstreamRequirements,
} from "./chooseUpstream.js";
export type { UpstreamIncarnation } from "./DepartedUpstreams.js";
export {
  findPrefixSource,
  type PrefixSource,
  type PrefixSourceKind,
  type SourceLookup,
} from "./findPrefixSource.js";
export { applyAnswerToPace, type UpstreamAnswer } from "./applyAnswerToPace.js";
export { createWorkPlacement, type WorkPlacement, type WorkToPlace } from "./WorkPlacement.js";
export { findPrefixHolder, type PrefixLookup, type PrefixLookupState } from "./findPrefixHolder.js";
export type { LimitShare } from "./LimitShare.js";
export { PrefixDirectory } from "./PrefixDirectory.js";
export { upstreamSchema, type Upstream } from "./schema.js";
export { getPaceBounds } from "./getPaceBounds.js";
export { RateSlots, type SharedRate } from "./RateSlots.js";
export type { ColdBound, StartShare } from "./StartShare.js";
export { UpstreamPace, type PaceBounds, type PaceChange } from "./UpstreamPace.js";
export { UpstreamStart } from "./UpstreamStart.js";
export { UpstreamLimit } from "./UpstreamLimit.js";
export { UpstreamTable } from "./UpstreamTable.js";
export { UpstreamEntry, type UpstreamReport } from "./UpstreamEntry.js";
export { UpstreamPath, type PathState } from "./UpstreamPath.js";
export {
  UpstreamReach,
  type ReachCheck,
  type ServiceReachChange,
  type SilenceLimit,
} from "./UpstreamReach.js";
