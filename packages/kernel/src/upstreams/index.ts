export { chooseUpstream, type UpstreamChoice, type UpstreamDemand } from "./chooseUpstream.js";
export { silenceMilliseconds } from "./constants.js";
export { upstreamSchema, type Upstream } from "./schema.js";
export { UpstreamBook } from "./UpstreamBook.js";
export { UpstreamEntry } from "./UpstreamEntry.js";
