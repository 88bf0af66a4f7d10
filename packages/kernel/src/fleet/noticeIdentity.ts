import type { FleetNotice } from "./messages.js";

/** A later notice on the same thing is new if it is this much later than the known one. */
const minAdvanceMilliseconds = 1_000;

/**
 * Gets a key that notices on the same thing have in common.
 * @param notice - The notice.
 */
export function getNoticeKey(notice: FleetNotice): string {
  switch (notice.kind) {
    case "prefix":
      return `prefix ${String(notice.block)} ${String(notice.upstream)}`;
    case "leaving":
      return `leaving ${notice.id} ${String(notice.bornAt)}`;
    case "resting":
      return `resting ${notice.id}`;
    case "limit":
    case "pace":
      return `${notice.kind} ${notice.id}`;
    case "loss": {
      const { content, upstream, request } = notice;
      return `loss ${String(content)} ${String(upstream)} ${String(request)}`;
    }
    case "served":
    case "quarantine":
      return `${notice.kind} ${String(notice.content)}`;
  }
}

/**
 * Checks whether a notice tells more than a known one with the same key.
 * @param notice - The notice.
 * @param known - The known one.
 */
export function isNewerNotice(notice: FleetNotice, known: FleetNotice): boolean {
  if (notice.kind === "prefix" && known.kind === "prefix") {
    return notice.at > known.at + minAdvanceMilliseconds;
  }
  if (notice.kind === "served" && known.kind === "served") {
    return notice.at > known.at + minAdvanceMilliseconds;
  }
  if (notice.kind === "limit" && known.kind === "limit") {
    return notice.at > known.at && notice.perSecond !== known.perSecond;
  }
  if (notice.kind === "pace" && known.kind === "pace") {
    const isOther = notice.perSecond !== known.perSecond || notice.isReduced !== known.isReduced;
    return notice.at > known.at && isOther;
  }
  if (notice.kind === "resting" && known.kind === "resting") {
    return notice.endsAt > known.endsAt + minAdvanceMilliseconds;
  }
  return false;
}
