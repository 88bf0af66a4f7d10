import type { Configuration } from "../configuration/index.js";
import { parseConfiguration } from "../configuration/index.js";
import type { ConfigurationError } from "../errors/index.js";
import type { Instant } from "../kernel/index.js";
import type { ConfigurationParser, RevisionGuard, RevisionSource } from "./messages.js";
import type { Revision, RevisionAnnouncement } from "./schema.js";

/** An accepted value. */
export interface AcceptedValue {
  readonly revision: Revision;
  readonly text: string;
  readonly configuration: Configuration;
  readonly source: RevisionSource;
}

/** A refused value; its text is kept for peers, which judge it for themselves. */
export interface RefusedValue {
  readonly revision: Revision;
  readonly text: string;
  readonly error: ConfigurationError;
}

/** A peer's last digest. */
export interface RevisionPeer {
  announcement: RevisionAnnouncement;
  /** The peer counts as live until then. */
  reachableUntil: Instant;
  /** Nothing is fetched from the peer before then. */
  fetchAfter: Instant;
}

/** A fetch under way. */
export interface FetchInFlight {
  readonly from: string;
  readonly revision: Revision;
  readonly deadline: Instant;
}

/** A daemon's reading of the platform. */
export interface Reading {
  /** Deadline of the read under way. */
  deadline?: Instant;
  nextAt: Instant;
  /** What the platform gave last. */
  last?: { readonly revision: number; readonly digest: string };
  failures: number;
}

export interface RevisionsState {
  daemon: string;
  zone: string;
  isStarted: boolean;
  parse: ConfigurationParser;
  disabledGuards: ReadonlySet<RevisionGuard>;
  /** Nothing is in force before the peers were heard or this instant has passed. */
  settleUntil?: Instant;
  /** Absent while the peers are not known. */
  awaitedPeers?: Set<string>;
  /** The newest accepted value, in force once the daemon has settled. */
  newest?: AcceptedValue;
  refused?: RefusedValue;
  confirmedAt?: Instant;
  fetch?: FetchInFlight;
  readonly peers: Map<string, RevisionPeer>;
  readonly reading: Reading;
}

/** Creates the state of a daemon that has not started. */
export function createRevisionsState(): RevisionsState {
  return {
    daemon: "",
    zone: "",
    isStarted: false,
    parse: parseConfiguration,
    disabledGuards: new Set(),
    peers: new Map(),
    reading: { nextAt: 0, failures: 0 },
  };
}

export function isGuarded(state: RevisionsState, guard: RevisionGuard): boolean {
  return !state.disabledGuards.has(guard);
}

/**
 * Compares two accepted revisions: by generation, revision, and then by digest, so that every
 * daemon chooses the same of two values that were published under one revision.
 */
export function compareRevisions(a: Revision, b: Revision): number {
  return (
    a.generation - b.generation ||
    a.revision - b.revision ||
    Number(a.digest > b.digest) - Number(a.digest < b.digest)
  );
}

/** Gets the digest that the daemon tells its peers. */
export function getRevisionAnnouncement(state: RevisionsState): RevisionAnnouncement {
  return {
    from: state.daemon,
    zone: state.zone,
    inForce: state.newest?.revision,
    refused: state.refused?.revision,
    confirmedAt: state.confirmedAt,
    isReadFailing: state.reading.failures > 0,
  };
}
