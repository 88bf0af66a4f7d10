import type { Result } from "true-myth";
import type { Configuration } from "../configuration/index.js";
import type { ConfigurationError } from "../errors/index.js";
import type { Instant } from "../kernel/index.js";
import type { Revision, RevisionAnnouncement } from "./schema.js";

/** Where a text came from. */
export type RevisionSource =
  { readonly kind: "platform" } | { readonly kind: "peer"; readonly name: string };

/** Judges a published text; the verdict depends on the text alone. */
export type ConfigurationParser = (text: string) => Result<Configuration, ConfigurationError>;

/** A check that the fault matrix can switch off, to show that a cell can fail. */
export type RevisionGuard =
  | "revision-order"
  | "revision-conflict"
  | "revision-settle"
  | "revision-digest"
  | "revision-readers";

/** Begins the life of a daemon; sent exactly once. */
export interface RevisionsStart {
  readonly kind: "start";
  readonly daemon: string;
  readonly zone: string;
  /** The other daemons, whose revisions are heard first; absent until `peers` names them. */
  readonly peers?: readonly string[];
  /** Absent: `parseConfiguration`. */
  readonly parse?: ConfigurationParser;
  readonly disabledGuards?: readonly RevisionGuard[];
}

/** The daemons that this one exchanges digests with, once the host list is known. */
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

/** The platform's answer to a `read` that nothing changed. */
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

/** A digest heard from a peer. */
export interface RevisionAnnouncementReceived {
  readonly kind: "announcement";
  readonly announcement: RevisionAnnouncement;
}

/** Keeps deadlines; sent about ten times a second. */
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

/** Reports two accepted values under one revision; `inForce` holds everywhere. */
export interface RevisionConflictEffect {
  readonly kind: "conflict";
  readonly inForce: Revision;
  readonly discarded: Revision;
}

/** Asks a peer for a text, to be answered by `published` or `fetchFailed`. */
export interface RevisionFetchEffect {
  readonly kind: "fetch";
  readonly from: string;
  readonly revision: Revision;
}

/** Reads the platform, to be answered by `published`, `unchanged` or `readFailed`. */
export interface RevisionReadEffect {
  readonly kind: "read";
  /** Revision that the platform gave last; nothing at the first read. */
  readonly after?: number;
  readonly waitUntil: Instant;
}

/** Sends the digest to all peers at once, beside the periodic ones. */
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
