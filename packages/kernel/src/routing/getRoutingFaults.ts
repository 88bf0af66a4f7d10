import type { RequestRoute, Routing } from "./schema.js";

/**
 * Gets the faults of a configuration that has the right shape but contradicts itself, such as a
 * route to a service that is not listed. Each fault is one sentence.
 * @param routing - Configuration that was parsed.
 */
export function getRoutingFaults(routing: Routing): string[] {
  const services = new Set(routing.services.map(({ name }) => name));
  return [
    ...routing.routes.flatMap((route) => getTargetFaults(route, services)),
    ...getDuplicates(routing.routes.map(({ authority, prefix }) => `${authority}${prefix}`)).map(
      (address) => `more than one route serves "${address}"`,
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

function getDuplicates(texts: readonly string[]): string[] {
  const seen = new Set<string>();
  const duplicates = texts.filter((text) => {
    const isDuplicate = seen.has(text);
    seen.add(text);
    return isDuplicate;
  });
  return [...new Set(duplicates)];
}
