import { createPublishedConfiguration } from "@pistachioway/standins";

/** Time that the route of late calls allows, in milliseconds; longer than a planned stop of a router. */
const lateTimeoutMilliseconds = 20_000;

interface RouteList {
  readonly route_list: readonly Readonly<Record<string, unknown>>[];
}

/**
 * Creates the configuration of the soak: the published one, with a route `/late/` that is like `/act/` but allows more
 * time.
 * @param version - Version of the configuration.
 * @param keys - API keys that are accepted.
 */
export function createConfiguration(version: number, keys: readonly string[]): unknown {
  const configuration = createPublishedConfiguration({ version, keys }) as RouteList;
  const lateRoutes = configuration.route_list
    .filter(({ name }) => name === "act")
    .map((route) => ({
      ...route,
      name: "late",
      prefix: "/late/",
      timeout_ms: lateTimeoutMilliseconds,
    }));
  return { ...configuration, route_list: [...configuration.route_list, ...lateRoutes] };
}
