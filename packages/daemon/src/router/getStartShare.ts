import {
  getPaceBounds,
  type ClockReading,
  type FleetView,
  type RoutedService,
  type StartShare,
  type UpstreamEntry,
} from "@pistachioway/kernel";
import { settlingMilliseconds } from "./getLimitShare.js";
import type { RouterSettings } from "./settings.js";

/** What a router knows of its fleet and of the bounds that hold for it. */
export interface StartShareContext {
  readonly view: FleetView;
  /** Monotonic time of the router's start, in milliseconds. */
  readonly startedAt: number;
  readonly bounds: RouterSettings["coldStart"];
  /** Upstreams of the service, if those that start are paced by their answers. */
  readonly paced?: readonly UpstreamEntry[] | undefined;
}

/** Without settings the rate must not be exceeded. */
const strictBounds = { excess: 1, slack: 0 };

/**
 * Gets what a router may use of the rates that upstreams of a service take after their start; undefined when nothing
 * bounds it. Until the router can know how many routers there are, it counts each address at which one may run.
 * @param context - What the router knows.
 * @param coldStart - How the upstreams of the service start.
 * @param now - Current time.
 */
export function getStartShare(
  { view, startedAt, bounds, paced }: StartShareContext,
  coldStart: RoutedService["coldStart"],
  now: ClockReading,
): StartShare | undefined {
  if (coldStart === undefined && paced === undefined) {
    return undefined;
  }
  const isSettled = now.monotonic - startedAt >= settlingMilliseconds;
  const peak = view.getPeakDaemonCount();
  const daemons = isSettled ? peak : Math.max(peak, view.getAddresses().length + 1);
  return {
    part: 1 / daemons,
    position: view.getPeakPosition(),
    clockOffset: now.wall - now.monotonic,
    isSettled,
    cold: coldStart && { ...coldStart, ...(bounds ?? strictBounds) },
    pace:
      paced &&
      getPaceBounds(paced, daemons, coldStart?.requestsPerSecond ?? Infinity, now.monotonic),
  };
}
