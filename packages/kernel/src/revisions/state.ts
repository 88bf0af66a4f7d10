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

/** A refused value; its text is kept for peers, which fetch and parse it themselves. */
export interface RefusedValue {
  readonly revision: Revision;
  readonly text: string;
  readonly error: ConfigurationError;
}

/** A peer and its last announcement. */
export interface RevisionPeer {
  announcement: RevisionAnnouncement;
  /** The peer counts as reachable until this instant. */
  reachableUntil: Instant;
  /** Nothing is fetched from the peer before this instant. */
  fetchAfter: Instant;
}

/** A fetch in progress. */
export interface FetchInFlight {
  readonly from: string;
  readonly revision: Revision;
  readonly deadline: Instant;
}

/** A daemon's reads of the platform. */
export interface Reading {
  /** Deadline of the read in progress; absent when none is. */
  deadline?: Instant;
  /** Instant from which the next read may start. */
  nextAt: Instant;
  /** What the platform returned last. */
  last?: { readonly revision: number; readonly digest: string };
  /** Consecutive failed reads. */
  failures: number;
}

export interface RevisionsState {
  daemon: string;
  zone: string;
  isStarted: boolean;
  parse: ConfigurationParser;
  disabledGuards: ReadonlySet<RevisionGuard>;
  /** End of the settling period, before which nothing is in force; absent once it has ended. */
  settleUntil?: Instant;
  /** Peers that have sent no announcement yet; absent while the peers are not known. */
  awaitedPeers?: Set<string>;
  /** The newest accepted value, in force once the settling period has ended. */
  newest?: AcceptedValue;
  /** The newest refused value, unless a newer one was accepted. */
  refused?: RefusedValue;
  /** Instant of the last confirmation of `newest` by the platform. */
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

/** Checks whether a guard is switched on. */
export function isGuardEnabled(state: RevisionsState, guard: RevisionGuard): boolean {
  return !state.disabledGuards.has(guard);
}

/**
 * Compares two revisions by generation, revision number and digest.
 *
 * The digest makes every daemon choose the same of two values with one revision number.
 */
export function compareRevisions(a: Revision, b: Revision): number {
  return (
    a.generation - b.generation ||
    a.revision - b.revision ||
    Number(a.digest > b.digest) - Number(a.digest < b.digest)
  );
}

/** Gets the announcement that the daemon sends to its peers. */
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
