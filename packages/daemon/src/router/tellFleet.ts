import { toFleetNotice, type UpstreamNotice, type UpstreamTable } from "@pistachioway/kernel";
import type { FleetTask } from "../fleet/index.js";

/**
 * Tells the other routers what this one learned about upstreams.
 * @param fleet - Task that tells them.
 * @param upstreams - Upstreams that the registry lists.
 * @param notices - What this router learned.
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
