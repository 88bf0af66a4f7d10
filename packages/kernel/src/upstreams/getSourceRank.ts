import type { UpstreamEntry } from "./UpstreamEntry.js";

const impairedRank = 1;
const doubtedRank = 2;

/**
 * Ranks an engine as the source of a KV cache transfer: 0 is the best, undefined one that cannot be connected to or whose
 * software caches other data.
 * @param entry - The engine.
 * @param softwareVersion - Version of the engine that fetches.
 * @param now - Monotonic time.
 */
export function getSourceRank(
  entry: UpstreamEntry,
  softwareVersion: string,
  now: number,
): number | undefined {
  const path = entry.path.getState();
  if (entry.record.softwareVersion !== softwareVersion || path === "closed") {
    return undefined;
  }
  if (path === "doubted") {
    return doubtedRank;
  }
  const isUnimpaired =
    path === "open" &&
    entry.isInService() &&
    entry.expiredAt === undefined &&
    !entry.isAvoidedForFailures(now) &&
    !entry.isResting(now);
  return isUnimpaired ? 0 : impairedRank;
}
