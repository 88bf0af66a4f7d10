export type * from "./messages.js";
export { isReader } from "./reading.js";
export { getInForce, getPublishedText, getRefused, revisionsPlugin } from "./revisionsPlugin.js";
export type { ConfigurationInForce } from "./revisionsPlugin.js";
export { RevisionsStartError } from "./RevisionsStartError.js";
export { revisionDigestSchema, revisionSchema } from "./schema.js";
export type { Revision, RevisionDigest } from "./schema.js";
export { compareRevisions, getRevisionDigest } from "./state.js";
export type { RefusedValue, RevisionsState } from "./state.js";
