import type { PeerHeartbeat, RestingUpstream } from "../fleet/index.js";
import type { UpstreamEntry, UpstreamIncarnation, UpstreamTable } from "../upstreams/index.js";
import type { ResponseHead } from "./messages.js";

/** What a daemon learned about an upstream from a response or from a peer. */
export type UpstreamNotice =
  | { readonly kind: "leaving"; readonly upstream: string }
  /** The upstream wants no requests; `isBounded` when it asked for longer than that time. */
  | {
      readonly kind: "resting";
      readonly upstream: string;
      readonly milliseconds: number;
      readonly isBounded: boolean;
    }
  /** The time that the upstream asked for cannot be read. */
  | { readonly kind: "invalidRest"; readonly upstream: string; readonly text: string };

/** Longest time for which an upstream may ask for no requests. */
const maxRestMilliseconds = 60_000;
/** Number of leaving upstreams, and of resting ones, that a heartbeat names. */
const maxNamedUpstreams = 16;
const maxReportedTextLength = 40;

/**
 * Applies what the head of a response says about its upstream, and gets what was new in it.
 * @param upstreams - Upstreams that the registry lists.
 * @param entry - Upstream that the request was sent to.
 * @param head - Head of its response.
 * @param now - Monotonic time in milliseconds.
 */
export function applyResponseHead(
  upstreams: UpstreamTable,
  entry: UpstreamEntry,
  head: ResponseHead,
  now: number,
): readonly UpstreamNotice[] {
  if (head.isMisdirected) {
    return [];
  }
  const notices: UpstreamNotice[] = [];
  const { id: upstream } = entry.record;
  if (head.load !== undefined) {
    entry.recordReportedLoad(head.load.running + head.load.waiting, now);
  }
  if (head.isLeaving && upstreams.markLeaving(entry.record)) {
    notices.push({ kind: "leaving", upstream });
  }
  if (head.requestedRest !== undefined) {
    const { milliseconds, text } = head.requestedRest;
    notices.push(
      milliseconds === undefined
        ? { kind: "invalidRest", upstream, text: text.slice(0, maxReportedTextLength) }
        : startRest(entry, milliseconds, now),
    );
  }
  return notices;
}

function startRest(entry: UpstreamEntry, asked: number, now: number): UpstreamNotice {
  const milliseconds = Math.min(asked, maxRestMilliseconds);
  entry.rest(now + milliseconds);
  const isBounded = milliseconds < asked;
  return { kind: "resting", upstream: entry.record.id, milliseconds, isBounded };
}

/**
 * Applies what a peer's heartbeat says about upstreams, and gets what was new in it. An upstream that
 * asked a peer for a rest may still serve this daemon, so it is only avoided.
 * @param upstreams - Upstreams that the registry lists.
 * @param heartbeat - Heartbeat of the peer.
 * @param now - Monotonic time in milliseconds.
 */
export function applyHeartbeat(
  upstreams: UpstreamTable,
  heartbeat: Pick<PeerHeartbeat, "leaving" | "resting" | "sentAt">,
  now: number,
): readonly UpstreamNotice[] {
  for (const { id, endsAt } of heartbeat.resting) {
    const remaining = Math.min(endsAt - heartbeat.sentAt, maxRestMilliseconds);
    upstreams.getEntry(id)?.avoidUntil(now + remaining);
  }
  return heartbeat.leaving
    .filter((incarnation) => upstreams.markLeaving(incarnation))
    .map(({ id }) => ({ kind: "leaving", upstream: id }));
}

/**
 * Gets the upstreams that are to be named in a heartbeat as leaving.
 * @param upstreams - Upstreams that the registry lists.
 */
export function getLeavingUpstreams(upstreams: UpstreamTable): readonly UpstreamIncarnation[] {
  return upstreams.getLeaving(maxNamedUpstreams);
}

/**
 * Gets the upstreams that are to be named in a heartbeat as resting.
 * @param upstreams - Upstreams that the registry lists.
 * @param now - Monotonic time in milliseconds.
 * @param wallNow - Time of day, in milliseconds since the epoch.
 */
export function getRestingUpstreams(
  upstreams: UpstreamTable,
  now: number,
  wallNow: number,
): readonly RestingUpstream[] {
  return upstreams
    .getEntries()
    .filter((entry) => entry.isResting(now))
    .slice(0, maxNamedUpstreams)
    .map((entry) => ({ id: entry.record.id, endsAt: wallNow + (entry.getRestEnd() - now) }));
}
