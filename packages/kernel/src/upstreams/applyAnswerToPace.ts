import type { FleetNotice } from "../fleet/index.js";
import type { StartShare } from "./StartShare.js";
import type { PaceChange } from "./UpstreamPace.js";
import type { UpstreamEntry } from "./UpstreamEntry.js";
import type { UpstreamTable } from "./UpstreamTable.js";

/** Multiple of the median time to the first byte of the other upstreams up to which a first byte is in time. */
const lateRatio = 2;

/** How an upstream answered a request. */
export interface UpstreamAnswer {
  /** When the request was sent. */
  readonly sentAt: number;
  /** Time to the first byte within which the route is to be answered. */
  readonly goalMilliseconds: number;
  /** Whether the request was refused or failed, rather than answered. */
  readonly isRejected: boolean;
}

/**
 * Applies an answer to the pace of its upstream. A first byte is late when it takes longer than the objective of the route
 * and than twice the usual time of the other upstreams: where all are late, this one is not to blame.
 * @param upstreams - Upstreams that the registry lists.
 * @param entry - Upstream that the request was sent to.
 * @param answer - How it answered.
 * @param now - Current time.
 * @param share - What this daemon may send to upstreams after their start; undefined when nothing bounds it.
 * @returns What the other daemons are to be told.
 */
export function applyAnswerToPace(
  upstreams: UpstreamTable,
  entry: UpstreamEntry,
  { sentAt, goalMilliseconds, isRejected }: UpstreamAnswer,
  now: number,
  share: StartShare | undefined,
): FleetNotice | undefined {
  if (share?.pace === undefined) {
    return undefined;
  }
  const milliseconds = now - sentAt;
  const isLate =
    milliseconds > goalMilliseconds &&
    milliseconds > upstreams.getMedianFirstByte(entry) * lateRatio;
  if (!isRejected) {
    entry.recordFirstByte(milliseconds);
  }
  const change =
    isRejected || isLate
      ? entry.start.recordSetback(sentAt, now, share)
      : entry.start.recordInTime(sentAt, now, share);
  return change && toPaceNotice(entry, change);
}

function toPaceNotice({ record: { id } }: UpstreamEntry, change: PaceChange): FleetNotice {
  return { kind: "pace", id, ...change };
}
