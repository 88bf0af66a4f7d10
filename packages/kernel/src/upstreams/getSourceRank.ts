import type { Upstream } from "./schema.js";
import type { UpstreamEntry } from "./UpstreamEntry.js";

const impairedRank = 1;
const doubtedRank = 2;

/**
 * Ranks an engine as the source of a KV cache transfer: 0 is the best, undefined one that cannot be connected to or whose
 * model or software caches other data.
 * @param entry - The engine.
 * @param fetcher - The engine that fetches.
 * @param now - Monotonic time.
 */
export function getSourceRank(
  entry: UpstreamEntry,
  { service, softwareVersion }: Pick<Upstream, "service" | "softwareVersion">,
  now: number,
): number | undefined {
  const path = entry.path.getState();
  const isCompatible =
    entry.record.service === service && entry.record.softwareVersion === softwareVersion;
  if (!isCompatible || path === "closed") {
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
