import type { ClockReading, FleetView, RoutedService, StartShare } from "@pistachioway/kernel";
import { settlingMilliseconds } from "./getLimitShare.js";
import type { RouterSettings } from "./settings.js";

/** What a router knows of its fleet and of the bounds that hold for it. */
export interface StartShareContext {
  readonly view: FleetView;
  /** Monotonic time of the router's start, in milliseconds. */
  readonly startedAt: number;
  readonly bounds: RouterSettings["coldStart"];
}

/** Without settings the rate must not be exceeded. */
const strictBounds = { excess: 1, slack: 0 };

/**
 * Gets what a router may use of the rates that upstreams of a service take after their start; undefined when the service
 * has none. Until the router can know how many routers there are, it counts each address at which one may run.
 * @param context - What the router knows.
 * @param coldStart - How the upstreams of the service start.
 * @param now - Current time.
 */
export function getStartShare(
  { view, startedAt, bounds }: StartShareContext,
  coldStart: RoutedService["coldStart"],
  now: ClockReading,
): StartShare | undefined {
  if (coldStart === undefined) {
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
    cold: { ...coldStart, ...(bounds ?? strictBounds) },
  };
}
