export type * from "./messages.js";
export { isReader } from "./reading.js";
export { getInForce, getPublishedText, getRefused, revisionsPlugin } from "./revisionsPlugin.js";
export type { ConfigurationInForce } from "./revisionsPlugin.js";
export { RevisionsStartError } from "./RevisionsStartError.js";
export { revisionAnnouncementSchema, revisionSchema } from "./schema.js";
export type { Revision, RevisionAnnouncement } from "./schema.js";
export { compareRevisions, getRevisionAnnouncement } from "./state.js";
export type { RefusedValue, RevisionsState } from "./state.js";
