import type { RequestRoute, RoutedTeam, RouteTable } from "../routing/index.js";

/** Limits on the age of the configuration: the time since it was last known to be current. */
export interface FreshnessBounds {
  /** Beyond this age an unknown route or key may have been added by a newer configuration. */
  readonly staleMilliseconds: number;
  /** Beyond this age a known key may have been revoked, so all keys are refused. */
  readonly failClosedMilliseconds: number;
}

/** Address and credentials of a request. */
export interface RequestIdentity {
  readonly authority: string;
  readonly path: string;
  readonly key: string | undefined;
}

/** Decision that a request may be served. */
export interface RequestApproval {
  readonly kind: "pass";
  readonly route: RequestRoute;
  /** Undefined on public routes and where the configuration has no teams. */
  readonly team: RoutedTeam | undefined;
}

/** Why a request is refused before it is forwarded. */
export type RefusalReason =
  "no-configuration" | "stale-configuration" | "unknown-route" | "unknown-key";

/** Decision that a request is refused. */
export interface RequestRefusal {
  readonly kind: "refusal";
  readonly reason: RefusalReason;
}

/**
 * Decides whether a request may be served under the configuration in force.
 * @param table - Configuration in force, if any.
 * @param ageMilliseconds - Time since the configuration was last known to be current.
 * @param identity - Address and credentials of the request.
 * @param bounds - Limits on the age of the configuration.
 */
export function checkRequest(
  table: RouteTable | undefined,
  ageMilliseconds: number,
  identity: RequestIdentity,
  bounds: FreshnessBounds,
): RequestApproval | RequestRefusal {
  if (table === undefined) {
    return refuse("no-configuration");
  }
  const isStale = ageMilliseconds > bounds.staleMilliseconds;
  const route = table.getRoute(identity.authority, identity.path);
  if (route === undefined) {
    return refuse(isStale ? "stale-configuration" : "unknown-route");
  }
  if (route.isPublic || !table.needsKeys()) {
    return { kind: "pass", route, team: undefined };
  }
  if (ageMilliseconds > bounds.failClosedMilliseconds) {
    return refuse("stale-configuration");
  }
  const team = identity.key === undefined ? undefined : table.getTeam(identity.key);
  if (team === undefined) {
    return refuse(isStale ? "stale-configuration" : "unknown-key");
  }
  return { kind: "pass", route, team };
}

function refuse(reason: RefusalReason): RequestRefusal {
  return { kind: "refusal", reason };
}
