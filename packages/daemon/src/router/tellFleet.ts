import { toFleetNotice, type UpstreamNotice, type UpstreamTable } from "@pistachioway/kernel";
import type { FleetTask } from "../fleet/index.js";

/**
 * Tells the other routers what a response said about its upstream.
 * @param fleet - The other routers.
 * @param upstreams - Upstreams that the registry lists.
 * @param notices - What the response said.
 */
export function tellFleet(
  fleet: FleetTask,
  upstreams: UpstreamTable,
  notices: readonly UpstreamNotice[],
): void {
  for (const notice of notices) {
    const fleetNotice = toFleetNotice(upstreams, notice);
    if (fleetNotice !== undefined) {
      fleet.addNotice(fleetNotice);
    }
  }
}
