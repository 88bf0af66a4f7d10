import type { UpstreamEntry } from "./UpstreamEntry.js";
import type { PaceBounds } from "./UpstreamPace.js";

/**
 * Initial pace, as a part of what an upstream of the service gets on average. From half of it, callers at a busy service
 * were late twice as often (docs/design/slow-start.md).
 */
const initialRatio = 1;
/** Pace from which the upstream is unrestricted, as a multiple of that average. */
const fullRatio = 2;
/** Lowest initial pace, for a service that gets next to no requests. */
const lowestInitialPerSecond = 1;

/**
 * Gets the bounds of the pace of an upstream that starts, from what this daemon sends to the upstreams of its service.
 * @param entries - Upstreams of the service.
 * @param daemons - Number of daemons, which are taken to send as much as this one.
 * @param coldPerSecond - Rate that a cold upstream tolerates; Infinity when its service has no cold start.
 * @param now - Current time.
 */
export function getPaceBounds(
  entries: readonly UpstreamEntry[],
  daemons: number,
  coldPerSecond: number,
  now: number,
): PaceBounds {
  const offered = entries.filter((entry) => entry.isOffered());
  const total = offered.reduce((sum, { start }) => sum + start.getSentPerSecond(now), 0);
  const usual = (total * daemons) / Math.max(1, offered.length);
  const initialPerSecond = Math.min(
    coldPerSecond,
    Math.max(lowestInitialPerSecond, usual * initialRatio),
  );
  return { initialPerSecond, fullPerSecond: Math.max(usual, initialPerSecond) * fullRatio };
}
