export {
  chooseUpstream,
  guessFormerUpstream,
  type UpstreamChoice,
  type UpstreamDemand,
} from "./chooseUpstream.js";
export { findHolder, type PromptDemand, type PromptKnowledge } from "./findHolder.js";
export { PrefixDirectory } from "./PrefixDirectory.js";
export { upstreamSchema, type Upstream } from "./schema.js";
export { UpstreamBook } from "./UpstreamBook.js";
export { UpstreamEntry } from "./UpstreamEntry.js";
