import type { RequestRoute, Routing } from "./schema.js";

/**
 * Gets what of a routing configuration can be read and can not mean what its author wants, a
 * sentence each.
 * @param routing - Configuration that was read.
 */
export function getRoutingFaults(routing: Routing): string[] {
  const services = new Set(routing.services.map(({ name }) => name));
  return [
    ...routing.routes.flatMap((route) => getTargetFaults(route, services)),
    ...getRepeated(routing.routes.map(({ authority, prefix }) => `${authority}${prefix}`)).map(
      (place) => `more than one route serves "${place}"`,
    ),
    ...getKeyFaults(routing),
  ];
}

function getTargetFaults(route: RequestRoute, services: ReadonlySet<string>): string[] {
  const unknown = route.targets
    .filter(({ service }) => !services.has(service))
    .map(
      ({ service }) => `route "${route.name}" sends to service "${service}", which is not listed`,
    );
  const hasWeight = route.targets.some(({ weight }) => weight > 0);
  return hasWeight ? unknown : [...unknown, `route "${route.name}" has no target with a weight`];
}

function getKeyFaults({ teams = [] }: Routing): string[] {
  const teamsByKey = new Map<string, string>();
  return teams.flatMap(({ name, keys }) =>
    keys.flatMap((key) => {
      const holder = teamsByKey.get(key) ?? name;
      teamsByKey.set(key, holder);
      return holder === name ? [] : [`teams "${holder}" and "${name}" hold the same key`];
    }),
  );
}

function getRepeated(texts: readonly string[]): string[] {
  const seen = new Set<string>();
  const repeated = texts.filter((text) => {
    const isRepeated = seen.has(text);
    seen.add(text);
    return isRepeated;
  });
  return [...new Set(repeated)];
}
