import type { EvacuatedZones } from "./EvacuatedZones.js";

/** What decides on the placement of a request. */
export interface PlacedRequest {
  readonly id: string;
  /** Zone of the daemon. */
  readonly zone: string;
  /** Key of the requests that share a cached prefix; undefined when any upstream serves equally well. */
  readonly stickyKey: string | undefined;
}

/**
 * Gets the key by which a request without a sticky key is spread while the daemon's own zone is evacuated.
 *
 * All daemons of that zone lose their nearest upstreams at the same moment. If each chose the least loaded of the others
 * by counts that are about a second old, all would choose the same ones. A key of each request's own spreads the
 * requests by the slots of the upstreams and within the load limit instead.
 * @param evacuations - The evacuated zones.
 * @param request - The request.
 * @returns Undefined when the request is placed as usual.
 */
export function getSpreadKey(
  evacuations: EvacuatedZones,
  { id, zone, stickyKey }: PlacedRequest,
): string | undefined {
  return stickyKey === undefined && evacuations.isEvacuated(zone) ? id : undefined;
}
