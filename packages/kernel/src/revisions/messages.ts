import type { Result } from "true-myth";
import type { Configuration } from "../configuration/index.js";
import type { ConfigurationError } from "../errors/index.js";
import type { Instant } from "../kernel/index.js";
import type { Revision, RevisionAnnouncement } from "./schema.js";

/** Where a configuration text came from. */
export type RevisionSource =
  { readonly kind: "platform" } | { readonly kind: "peer"; readonly name: string };

/** Parses a published text; the result depends on the text alone, so that all daemons agree. */
export type ConfigurationParser = (text: string) => Result<Configuration, ConfigurationError>;

/** A check that the fault matrix can switch off, to show that its tests detect the failure. */
export type RevisionGuard =
  | "revision-order"
  | "revision-conflict"
  | "revision-settle"
  | "revision-digest"
  | "revision-readers";

/** Starts the plug-in; must be the first message and is sent exactly once. */
export interface RevisionsStart {
  readonly kind: "start";
  readonly daemon: string;
  readonly zone: string;
  /** The other daemons, whose announcements are awaited first; absent if not known yet. */
  readonly peers?: readonly string[];
  /** Defaults to `parseConfiguration`. */
  readonly parse?: ConfigurationParser;
  readonly disabledGuards?: readonly RevisionGuard[];
}

/** The daemons that this one exchanges announcements with, sent once the host list is known. */
export interface RevisionPeers {
  readonly kind: "peers";
  readonly names: readonly string[];
}

/** The answer to a `read` or a `fetch`. */
export interface RevisionPublished {
  readonly kind: "published";
  readonly revision: number;
  readonly text: string;
  readonly source: RevisionSource;
}

/** The platform's answer to a `read` when the value has not changed. */
export interface RevisionUnchanged {
  readonly kind: "unchanged";
}

/** A `read` that failed. */
export interface RevisionReadFailed {
  readonly kind: "readFailed";
}

/** A `fetch` that failed. */
export interface RevisionFetchFailed {
  readonly kind: "fetchFailed";
  readonly from: string;
}

/** An announcement received from a peer. */
export interface RevisionAnnouncementReceived {
  readonly kind: "announcement";
  readonly announcement: RevisionAnnouncement;
}

/** Checks deadlines; sent about ten times a second. */
export interface RevisionsTick {
  readonly kind: "tick";
}

export type RevisionsMessage =
  | RevisionsStart
  | RevisionPeers
  | RevisionPublished
  | RevisionUnchanged
  | RevisionReadFailed
  | RevisionFetchFailed
  | RevisionAnnouncementReceived
  | RevisionsTick;

/** Puts a configuration into force. */
export interface RevisionInForceEffect {
  readonly kind: "inForce";
  readonly configuration: Configuration;
  readonly revision: Revision;
  readonly source: RevisionSource;
}

/** Reports a refused value; the one in force stays. */
export interface RevisionRefusedEffect {
  readonly kind: "refused";
  readonly revision: Revision;
  readonly error: ConfigurationError;
  readonly source: RevisionSource;
}

/** Reports an accepted value that is older than the one in force. */
export interface RevisionStaleEffect {
  readonly kind: "stale";
  readonly revision: Revision;
  readonly inForce: Revision;
  readonly source: RevisionSource;
}

/** Reports two accepted values with one revision number; every daemon chooses `inForce`. */
export interface RevisionConflictEffect {
  readonly kind: "conflict";
  readonly inForce: Revision;
  readonly discarded: Revision;
}

/** Requests a text from a peer; answered by `published` or `fetchFailed`. */
export interface RevisionFetchEffect {
  readonly kind: "fetch";
  readonly from: string;
  readonly revision: Revision;
}

/** Reads the platform (long poll); answered by `published`, `unchanged` or `readFailed`. */
export interface RevisionReadEffect {
  readonly kind: "read";
  /** Revision that the platform returned last; absent at the first read. */
  readonly after?: number;
  /** Instant until which the platform may hold the read while nothing changes. */
  readonly waitUntil: Instant;
}

/** Sends the announcement to all peers at once, in addition to the periodic ones. */
export interface RevisionAnnounceEffect {
  readonly kind: "announce";
  readonly announcement: RevisionAnnouncement;
}

export type RevisionsEffect =
  | RevisionInForceEffect
  | RevisionRefusedEffect
  | RevisionStaleEffect
  | RevisionConflictEffect
  | RevisionFetchEffect
  | RevisionReadEffect
  | RevisionAnnounceEffect;
