import type { FleetNotice } from "../fleet/index.js";
import type { ContentQuarantine } from "../quarantine/index.js";
import type {
  PrefixDirectory,
  StartShare,
  UpstreamEntry,
  UpstreamTable,
} from "../upstreams/index.js";
import type { WorkEstimator } from "../work/index.js";
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
  | { readonly kind: "invalidRest"; readonly upstream: string; readonly text: string }
  /** The upstream limits the requests a second of all daemons together; undefined when it no longer does. */
  | { readonly kind: "limited"; readonly upstream: string; readonly perSecond: number | undefined }
  /** The limit that the upstream named cannot be read. */
  | { readonly kind: "invalidLimit"; readonly upstream: string; readonly text: string };

/** Longest time for which an upstream may ask for no requests. */
const maxRestMilliseconds = 60_000;
const maxReportedTextLength = 40;

/**
 * Applies what the head of a response says about its upstream, and gets what was new in it.
 * @param upstreams - Upstreams that the registry lists.
 * @param entry - Upstream that the request was sent to.
 * @param head - Head of its response.
 * @param now - Monotonic time in milliseconds.
 * @param workEstimator - Receives the load that the head reports.
 */
export function applyResponseHead(
  upstreams: UpstreamTable,
  entry: UpstreamEntry,
  head: ResponseHead,
  now: number,
  workEstimator?: WorkEstimator,
): readonly UpstreamNotice[] {
  if (head.isMisdirected) {
    avoidIfReplaced(entry, head, now);
    return [];
  }
  const notices: UpstreamNotice[] = [];
  const { id: upstream } = entry.record;
  if (head.load !== undefined) {
    const { running, waiting } = head.load;
    entry.recordReportedLoad(running + waiting, now, waiting);
    workEstimator?.recordReport(entry, head.load, now);
  }
  if (head.coldMilliseconds !== undefined) {
    entry.start.recordCold(head.coldMilliseconds, now);
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
  notices.push(...applyStatedLimit(entry, head, now));
  return notices;
}

/** Another upstream that answers at the address proves that the listed one is gone, although it still looks idle. */
function avoidIfReplaced(entry: UpstreamEntry, { meaning }: ResponseHead, now: number): void {
  if (meaning === "refusal") {
    entry.avoid(now);
  }
}

/** Only a final answer without a limit lifts one, since others may not come from the upstream's own work. */
function applyStatedLimit(
  { record, limit }: UpstreamEntry,
  { statedLimit, meaning }: ResponseHead,
  now: number,
): readonly UpstreamNotice[] {
  const { id: upstream } = record;
  if (statedLimit !== undefined && statedLimit.perSecond === undefined) {
    const text = statedLimit.text.slice(0, maxReportedTextLength);
    return limit.noteInvalid(text) ? [{ kind: "invalidLimit", upstream, text }] : [];
  }
  if (statedLimit === undefined && meaning !== "final") {
    return [];
  }
  const perSecond = statedLimit?.perSecond;
  return limit.update(perSecond, now) ? [{ kind: "limited", upstream, perSecond }] : [];
}

function startRest(entry: UpstreamEntry, asked: number, now: number): UpstreamNotice {
  const milliseconds = Math.min(asked, maxRestMilliseconds);
  entry.rest(now + milliseconds);
  const isBounded = milliseconds < asked;
  return { kind: "resting", upstream: entry.record.id, milliseconds, isBounded };
}

/** State of a daemon that notices of peers are applied to. */
export interface NoticeTarget {
  readonly upstreams: UpstreamTable;
  readonly prefixes: PrefixDirectory;
  readonly quarantine: ContentQuarantine;
  /** Gets what this daemon may send to upstreams of a service after their start; none is paced without it. */
  readonly getStartShare?: (service: string) => StartShare | undefined;
}

/**
 * Applies what peers learned about upstreams, and gets what was new in it. An upstream that asked a
 * peer for a rest may still serve this daemon, so it is only avoided.
 * @param target - State of this daemon.
 * @param notices - Notices of peers.
 * @param now - Monotonic time in milliseconds.
 */
export function applyFleetNotices(
  target: NoticeTarget,
  notices: readonly FleetNotice[],
  now: number,
): readonly UpstreamNotice[] {
  return notices.flatMap((notice) => applyFleetNotice(target, notice, now));
}

function applyFleetNotice(
  { upstreams, prefixes, quarantine, getStartShare }: NoticeTarget,
  notice: FleetNotice,
  now: number,
): readonly UpstreamNotice[] {
  switch (notice.kind) {
    case "prefix": {
      const entry = upstreams.getEntryByHash(notice.upstream);
      if (entry !== undefined) {
        prefixes.addHolder([notice.block], entry, notice.at);
      }
      return [];
    }
    case "leaving":
      return upstreams.markLeaving(notice) ? [{ kind: "leaving", upstream: notice.id }] : [];
    case "resting":
      upstreams.getEntry(notice.id)?.avoidUntil(Math.min(notice.endsAt, now + maxRestMilliseconds));
      return [];
    case "limit":
      return upstreams.getEntry(notice.id)?.limit.update(notice.perSecond, notice.at) === true
        ? [{ kind: "limited", upstream: notice.id, perSecond: notice.perSecond }]
        : [];
    case "pace": {
      const entry = upstreams.getEntry(notice.id);
      const share = entry && getStartShare?.(entry.record.service);
      if (share !== undefined) {
        entry?.start.applyPace(notice, share);
      }
      return [];
    }
    case "loss":
    case "served":
    case "quarantine":
      quarantine.applyNotice(notice, now);
      return [];
  }
}

/**
 * Gets what the other daemons are to be told of a notice.
 * @param upstreams - Upstreams that the registry lists.
 * @param notice - What this daemon learned from a response.
 */
export function toFleetNotice(
  upstreams: UpstreamTable,
  notice: UpstreamNotice,
): FleetNotice | undefined {
  const entry = upstreams.getEntry(notice.upstream);
  if (entry === undefined) {
    return undefined;
  }
  const { id, bornAt } = entry.record;
  switch (notice.kind) {
    case "leaving":
      return { kind: "leaving", id, bornAt };
    case "resting":
      return { kind: "resting", id, endsAt: entry.getRestEnd() };
    case "limited":
      return { kind: "limit", id, perSecond: notice.perSecond, at: entry.limit.getStatedAt() };
    case "invalidRest":
    case "invalidLimit":
      return undefined;
  }
}
