import type { Instant } from "../kernel/index.js";
import type {
  RevisionFetchFailed,
  RevisionAnnouncementReceived,
  RevisionsEffect,
} from "./messages.js";
import { isNewerRefusal } from "./evaluation.js";
import type { Revision, RevisionAnnouncement } from "./schema.js";
import { compareRevisions, type RevisionsState } from "./state.js";

const peerReachableMilliseconds = 3000;
const fetchTimeoutMilliseconds = 1000;

/**
 * Stores a peer's announcement.
 *
 * When the peer has the same revision in force, its confirmation by the platform counts here too.
 */
export function handleAnnouncement(
  state: RevisionsState,
  message: RevisionAnnouncementReceived,
  now: Instant,
): void {
  const { announcement } = message;
  const fetchAfter = state.peers.get(announcement.from)?.fetchAfter ?? 0;
  state.peers.set(announcement.from, {
    announcement,
    reachableUntil: now + peerReachableMilliseconds,
    fetchAfter,
  });
  state.awaitedPeers?.delete(announcement.from);
  raiseRefusedGeneration(state, announcement.refused);
  const inForce = state.newest?.revision;
  if (inForce && announcement.inForce && compareRevisions(inForce, announcement.inForce) === 0) {
    recordConfirmation(state, announcement.confirmedAt, now);
  }
}

/** Adopts the announced generation of a refused text when it is later than the known one. */
function raiseRefusedGeneration(state: RevisionsState, announced: Revision | undefined): void {
  const { refused } = state;
  const isSameText =
    announced?.revision === refused?.revision.revision &&
    announced?.digest === refused?.revision.digest;
  if (refused && announced && isSameText && announced.generation > refused.revision.generation) {
    state.refused = { ...refused, revision: announced };
  }
}

/**
 * Records that the platform confirmed the revision in force.
 *
 * An instant in the future, from a peer whose clock is ahead, counts as now.
 */
export function recordConfirmation(
  state: RevisionsState,
  at: Instant | undefined,
  now: Instant,
): void {
  if (at !== undefined) {
    state.confirmedAt = Math.max(state.confirmedAt ?? 0, Math.min(at, now));
  }
}

/** Ends a failed fetch; nothing is fetched from the peer during the next fetch timeout. */
export function handleFetchFailed(
  state: RevisionsState,
  message: RevisionFetchFailed,
  now: Instant,
): void {
  if (state.fetch?.from !== message.from) {
    return;
  }
  state.fetch = undefined;
  const peer = state.peers.get(message.from);
  if (peer !== undefined) {
    peer.fetchAfter = now + fetchTimeoutMilliseconds;
  }
}

/** Fetches the newest value that a reachable peer announces; one fetch runs at a time. */
export function fetchNewest(state: RevisionsState, now: Instant): RevisionsEffect[] {
  if (state.fetch !== undefined && state.fetch.deadline <= now) {
    handleFetchFailed(state, { kind: "fetchFailed", from: state.fetch.from }, now);
  }
  if (state.fetch !== undefined) {
    return [];
  }
  const wanted = getWantedValue(state, now);
  if (wanted === undefined) {
    return [];
  }
  state.fetch = { ...wanted, deadline: now + fetchTimeoutMilliseconds };
  return [{ kind: "fetch", ...wanted }];
}

interface WantedValue {
  readonly from: string;
  readonly revision: Revision;
}

function getWantedValue(state: RevisionsState, now: Instant): WantedValue | undefined {
  const announcements = [...state.peers.values()]
    .filter((peer) => peer.reachableUntil > now && peer.fetchAfter <= now)
    .map((peer) => peer.announcement);
  return getWantedAccepted(state, announcements) ?? getWantedRefused(state, announcements);
}

function getWantedAccepted(
  state: RevisionsState,
  announcements: readonly RevisionAnnouncement[],
): WantedValue | undefined {
  const announced = announcements
    .flatMap(({ from, inForce }) => (inForce === undefined ? [] : [{ from, inForce }]))
    .sort((a, b) => compareRevisions(b.inForce, a.inForce));
  const [best] = announced;
  const known = state.newest?.revision;
  if (best === undefined || (known && compareRevisions(best.inForce, known) <= 0)) {
    return undefined;
  }
  return { from: best.from, revision: best.inForce };
}

function getWantedRefused(
  state: RevisionsState,
  announcements: readonly RevisionAnnouncement[],
): WantedValue | undefined {
  const [best] = announcements
    .flatMap(({ from, refused }) => (refused === undefined ? [] : [{ from, revision: refused }]))
    .filter(({ revision }) => isNewerRefusal(state, revision))
    .sort((a, b) => compareRevisions(b.revision, a.revision));
  return best;
}
