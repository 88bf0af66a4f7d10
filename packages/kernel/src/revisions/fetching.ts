import type { Instant } from "../kernel/index.js";
import type { RevisionFetchFailed, RevisionHeard, RevisionsEffect } from "./messages.js";
import { isNewerRefusal } from "./judging.js";
import type { Revision, RevisionDigest } from "./schema.js";
import { compareRevisions, type RevisionsState } from "./state.js";

const peerLiveMilliseconds = 3000;
const fetchTimeoutMilliseconds = 1000;

/** Notes a peer's digest, and its confirmation of the revision in force. */
export function handleDigest(state: RevisionsState, message: RevisionHeard, now: Instant): void {
  const { digest } = message;
  const fetchAfter = state.peers.get(digest.from)?.fetchAfter ?? 0;
  state.peers.set(digest.from, { digest, liveUntil: now + peerLiveMilliseconds, fetchAfter });
  state.unheardPeers?.delete(digest.from);
  raiseRefused(state, digest.refused);
  const inForce = state.newest?.revision;
  if (inForce && digest.inForce && compareRevisions(inForce, digest.inForce) === 0) {
    confirm(state, digest.confirmedAt, now);
  }
}

/** Takes over the later of two generations under which one text was refused. */
function raiseRefused(state: RevisionsState, announced: Revision | undefined): void {
  const { refused } = state;
  const isSameText =
    announced?.revision === refused?.revision.revision &&
    announced?.digest === refused?.revision.digest;
  if (refused && announced && isSameText && announced.generation > refused.revision.generation) {
    state.refused = { ...refused, revision: announced };
  }
}

/** Notes that the revision in force was confirmed; a clock ahead of this one counts as now. */
export function confirm(state: RevisionsState, at: Instant | undefined, now: Instant): void {
  if (at !== undefined) {
    state.confirmedAt = Math.max(state.confirmedAt ?? 0, Math.min(at, now));
  }
}

/** Leaves a peer alone for a while after a failed fetch. */
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

/** Fetches the newest value that a live peer announces, one at a time. */
export function fetchNewest(state: RevisionsState, now: Instant): RevisionsEffect[] {
  if (state.fetch !== undefined && state.fetch.deadline <= now) {
    handleFetchFailed(state, { kind: "fetchFailed", from: state.fetch.from }, now);
  }
  if (state.fetch !== undefined) {
    return [];
  }
  const wanted = getWanted(state, now);
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

function getWanted(state: RevisionsState, now: Instant): WantedValue | undefined {
  const digests = [...state.peers.values()]
    .filter((peer) => peer.liveUntil > now && peer.fetchAfter <= now)
    .map((peer) => peer.digest);
  return getWantedAccepted(state, digests) ?? getWantedRefused(state, digests);
}

function getWantedAccepted(
  state: RevisionsState,
  digests: readonly RevisionDigest[],
): WantedValue | undefined {
  const offers = digests
    .flatMap(({ from, inForce }) => (inForce === undefined ? [] : [{ from, inForce }]))
    .sort((a, b) => compareRevisions(b.inForce, a.inForce));
  const [best] = offers;
  const known = state.newest?.revision;
  if (best === undefined || (known && compareRevisions(best.inForce, known) <= 0)) {
    return undefined;
  }
  return { from: best.from, revision: best.inForce };
}

function getWantedRefused(
  state: RevisionsState,
  digests: readonly RevisionDigest[],
): WantedValue | undefined {
  const [best] = digests
    .flatMap(({ from, refused }) => (refused === undefined ? [] : [{ from, revision: refused }]))
    .filter(({ revision }) => isNewerRefusal(state, revision))
    .sort((a, b) => compareRevisions(b.revision, a.revision));
  return best;
}
