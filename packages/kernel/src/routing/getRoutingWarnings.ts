import { toHostName } from "./RouteTable.js";
import type { RequestRoute, RoutedService, Routing } from "./schema.js";

/** A part of a valid configuration that is likely a mistake. */
export interface RoutingWarning {
  /** `unused` for an entry that no request can match, `contradiction` for limits that exclude each other. */
  readonly kind: "unused" | "contradiction";
  /** One sentence that names the entry. */
  readonly detail: string;
}

/** Highest priority value that upstreams tell apart; higher ones count as this one. */
const lastPriority = 9;

/**
 * Gets the entries of a configuration that no request can match, and the limits that contradict each other.
 * Routers accept the configuration all the same.
 * @param routing - Configuration that was parsed.
 */
export function getRoutingWarnings(routing: Routing): readonly RoutingWarning[] {
  return [...getUnusedDetails(routing).map(toUnused), ...getContradictions(routing)];
}

function toUnused(detail: string): RoutingWarning {
  return { kind: "unused", detail };
}

function toContradiction(detail: string): RoutingWarning {
  return { kind: "contradiction", detail };
}

function getUnusedDetails(routing: Routing): readonly string[] {
  return [
    ...getShadowedRoutes(routing.routes),
    ...routing.routes.flatMap(getUnmatchedAddresses),
    ...routing.routes.flatMap(getWeightlessTargets),
    ...getUnusedServices(routing),
    ...getUnusedTeams(routing),
  ];
}

/** Of several routes with one address, routers use the last. */
function getShadowedRoutes(routes: readonly RequestRoute[]): readonly string[] {
  const lastByAddress = new Map(routes.map((route) => [getAddress(route), route]));
  return routes.flatMap((route) => {
    const last = lastByAddress.get(getAddress(route));
    return last === undefined || last === route
      ? []
      : [`route "${route.name}" never matches, since route "${last.name}" has the same address`];
  });
}

function getAddress({ authority, prefix }: RequestRoute): string {
  return `${toHostName(authority)}${prefix}`;
}

/** A path ends before a query or fragment, and a host name has neither slashes nor spaces. */
function getUnmatchedAddresses({ name, authority, prefix }: RequestRoute): readonly string[] {
  const details: string[] = [];
  if (/[?#\s]/.test(prefix)) {
    details.push(`route "${name}" never matches, since no path contains "${prefix}"`);
  }
  if (/[/?#\s]/.test(authority)) {
    details.push(`route "${name}" never matches, since "${authority}" is no host name`);
  }
  return details;
}

function getWeightlessTargets({ name, targets }: RequestRoute): readonly string[] {
  const hasWeight = targets.some(({ weight }) => weight > 0);
  return targets
    .filter(({ weight }) => hasWeight && weight === 0)
    .map(({ service }) => `route "${name}" sends nothing to service "${service}", of weight 0`);
}

function getUnusedServices({ routes, services }: Routing): readonly string[] {
  const targets = routes.flatMap((route) => route.targets).filter(({ weight }) => weight > 0);
  const used = new Set(targets.map(({ service }) => service));
  return services
    .filter(({ name }) => !used.has(name))
    .map(({ name }) => `no route sends to service "${name}"`);
}

function getUnusedTeams({ routes, teams = [] }: Routing): readonly string[] {
  if (teams.length > 0 && routes.length > 0 && routes.every(({ isPublic }) => isPublic)) {
    return ["no route needs the keys of the teams, since all are public"];
  }
  return teams
    .filter(({ keys }) => keys.length === 0)
    .map(({ name }) => `team "${name}" has no key, so that no request belongs to it`);
}

function getContradictions(routing: Routing): readonly RoutingWarning[] {
  const engineServices = new Set(
    routing.services.filter(({ engine }) => engine !== undefined).map(({ name }) => name),
  );
  return [
    ...routing.routes.flatMap((route) => getRouteContradictions(route, engineServices)),
    ...routing.services.flatMap(getServiceContradictions),
    ...getPriorityContradictions(routing),
    ...getTimeoutContradictions(routing),
  ].map(toContradiction);
}

function getRouteContradictions(
  route: RequestRoute,
  engineServices: ReadonlySet<string>,
): readonly string[] {
  const { name, kind, goalMilliseconds: goal, timeoutMilliseconds: timeout } = route;
  const details: string[] = [];
  if (goal > timeout) {
    const times = `${String(goal)} ms is later than its timeout of ${String(timeout)} ms`;
    details.push(`the objective of route "${name}" of ${times}`);
  }
  if (route.isResumable && kind !== "stream") {
    details.push(`route "${name}" is resumable, but its requests are no streams`);
  }
  if (route.isSticky && !route.targets.some(({ service }) => engineServices.has(service))) {
    details.push(`route "${name}" is sticky, but sends to no service with engines`);
  }
  return details;
}

function getServiceContradictions({
  name,
  engine,
  maxConnections,
}: RoutedService): readonly string[] {
  if (engine === undefined || engine.slots <= maxConnections) {
    return [];
  }
  const figures = `${String(engine.slots)} slots but accept ${String(maxConnections)} connections`;
  return [`engines of service "${name}" have ${figures}, and each request needs one`];
}

function getPriorityContradictions({ routes, teams = [] }: Routing): readonly string[] {
  return [
    ...routes.map(({ name, priority }) => ({ owner: `route "${name}"`, priority })),
    ...teams.map(({ name, priority = 0 }) => ({ owner: `team "${name}"`, priority })),
  ]
    .filter(({ priority }) => priority > lastPriority)
    .map(
      ({ owner, priority }) =>
        `priority ${String(priority)} of ${owner} counts as ${String(lastPriority)}`,
    );
}

/** A connection that is closed as idle cannot use up the time for a head. */
function getTimeoutContradictions({ limits }: Routing): readonly string[] {
  const { headerTimeoutMilliseconds: headerTimeout, idleTimeoutMilliseconds: idleTimeout } = limits;
  if (idleTimeout >= headerTimeout) {
    return [];
  }
  const head = `the time for the head of a request of ${String(headerTimeout)} ms`;
  return [`the idle time of a connection of ${String(idleTimeout)} ms ends before ${head}`];
}
