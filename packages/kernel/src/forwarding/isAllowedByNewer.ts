import type { RouteTable } from "../routing/index.js";
import type { RequestIdentity } from "./checkRequest.js";

/** A request that another daemon approved. */
export interface ApprovedRequest {
  readonly identity: RequestIdentity;
  /** Version of the configuration under which it was approved. */
  readonly version: number;
  /** Service that was picked for it. */
  readonly service: string;
}

/**
 * Checks whether a newer configuration still allows a request that another daemon approved under its own. An older or
 * equal one has no say.
 * @param table - Configuration in force here, if any.
 * @param request - The request.
 */
export function isAllowedByNewer(
  table: RouteTable | undefined,
  { identity, version, service }: ApprovedRequest,
): boolean {
  if (table === undefined || table.version <= version) {
    return true;
  }
  const route = table.getRoute(identity.authority, identity.path);
  if (route?.targets.some((target) => target.service === service) !== true) {
    return false;
  }
  const needsKey = !route.isPublic && table.needsKeys();
  return !needsKey || (identity.key !== undefined && table.getTeam(identity.key) !== undefined);
}
