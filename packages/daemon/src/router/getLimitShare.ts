import type { FleetView, LimitShare } from "@pistachioway/kernel";

/** Time after its start until when a router cannot know how many routers there are. */
export const settlingMilliseconds = 3_000;

/**
 * Gets what a router may use of the limits that upstreams name on the requests of all routers.
 * @param view - What the router knows of the others.
 * @param startedAt - Monotonic time of the router's start, in milliseconds.
 * @param now - Monotonic time in milliseconds.
 */
export function getLimitShare(view: FleetView, startedAt: number, now: number): LimitShare {
  const isSettled = now - startedAt >= settlingMilliseconds;
  return { part: isSettled ? 1 / view.getPeakDaemonCount() : 0, position: view.getPosition() };
}
