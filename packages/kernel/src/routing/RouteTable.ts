import type { RequestLimits, RequestRoute, RoutedService, RoutedTeam, Routing } from "./schema.js";

type RoutesByPrefix = Map<string, RequestRoute>;

/** Routing configuration, indexed to look up the route, team and service of a request. */
export class RouteTable {
  private readonly routesByAuthority = new Map<string, RoutesByPrefix>();
  private readonly teamsByKey = new Map<string, RoutedTeam>();
  private readonly servicesByName = new Map<string, RoutedService>();

  private constructor(private readonly routing: Routing) {
    for (const route of routing.routes) {
      this.addRoute(route);
    }
    for (const team of routing.teams ?? []) {
      team.keys.forEach((key) => this.teamsByKey.set(key, team));
    }
    for (const service of routing.services) {
      this.servicesByName.set(service.name, service);
    }
  }

  /**
   * Indexes a routing configuration.
   * @param routing - Configuration that was validated.
   */
  static create(routing: Routing): RouteTable {
    return new RouteTable(routing);
  }

  /** Gets the version of the configuration. */
  get version(): number {
    return this.routing.version;
  }

  /** Gets the limits on requests. */
  get limits(): RequestLimits {
    return this.routing.limits;
  }

  /** Gets the configuration that was indexed. */
  getRouting(): Routing {
    return this.routing;
  }

  /** Checks whether requests of routes that are not public need a key. */
  needsKeys(): boolean {
    return this.routing.teams !== undefined;
  }

  /**
   * Gets the route with the longest prefix of a path.
   * @param authority - Host header of the request.
   * @param path - Path of the request, with or without query.
   */
  getRoute(authority: string, path: string): RequestRoute | undefined {
    const routes = this.routesByAuthority.get(toHostName(authority));
    if (routes === undefined) {
      return undefined;
    }
    const queryAt = path.indexOf("?");
    const end = queryAt < 0 ? path.length : queryAt;
    for (let at = path.lastIndexOf("/", end - 1); at >= 0; at = path.lastIndexOf("/", at - 1)) {
      const route = routes.get(path.slice(0, at + 1));
      if (route !== undefined || at === 0) {
        return route;
      }
    }
    return undefined;
  }

  /**
   * Gets the team that holds a key.
   * @param key - Key of a request.
   */
  getTeam(key: string): RoutedTeam | undefined {
    return this.teamsByKey.get(key);
  }

  /**
   * Gets a service.
   * @param name - Name of the service.
   */
  getService(name: string): RoutedService | undefined {
    return this.servicesByName.get(name);
  }

  private addRoute(route: RequestRoute): void {
    const authority = toHostName(route.authority);
    const routes = this.routesByAuthority.get(authority) ?? new Map<string, RequestRoute>();
    routes.set(route.prefix, route);
    this.routesByAuthority.set(authority, routes);
  }
}

/**
 * Picks the service that serves a request of a route, by the weights of the route's targets.
 * @param route - Route of the request.
 * @param fraction - Number in [0, 1), usually random, that selects the target.
 */
export function getTargetService(route: RequestRoute, fraction: number): string {
  const total = route.targets.reduce((sum, { weight }) => sum + weight, 0);
  let remaining = fraction * total;
  for (const { service, weight } of route.targets) {
    remaining -= weight;
    if (remaining < 0) {
      return service;
    }
  }
  return route.targets[0]?.service ?? "";
}

/**
 * Gets the host name by which routes are found: in lower case, without port.
 * @param authority - Host header, or host of a route.
 */
export function toHostName(authority: string): string {
  return authority.replace(/:\d+$/, "").toLowerCase();
}
