import { z } from "zod";
import { formatPath, formatValue, type ConfigurationPath } from "./findings.js";
import type { ConfigurationFinding } from "./findings.js";

const text = z.string().optional().catch(undefined);
const texts = z.array(text).optional().catch(undefined);

function list<Item extends z.ZodType>(item: Item) {
  return z.array(item).catch([]);
}

const named = { name: text };

/**
 * The parts of a file that refer to each other. They are parsed leniently, so that errors elsewhere
 * in the file don't hide wrong references.
 */
const outlineSchema = z.object({
  zones: list(z.object(named).catch({})),
  models: list(z.object({ ...named, adapters: texts }).catch({})),
  engines: list(
    z.object({ ...named, zone: text, models: texts, adapters: texts, role: text }).catch({}),
  ),
  services: list(
    z
      .object({
        ...named,
        hosts: list(z.object({ ...named, zone: text }).catch({})),
        routes: list(z.object({ method: text, path: text }).catch({})),
      })
      .catch({ hosts: [], routes: [] }),
  ),
  teams: list(z.object({ ...named, tokenSha256: text }).catch({})),
});

type Outline = z.infer<typeof outlineSchema>;

/** A name or reference in the file, and its path. */
interface Occurrence {
  readonly path: ConfigurationPath;
  readonly value: string | undefined;
}

/**
 * Gets the findings for duplicates and for references to names that the file does not define.
 * @param file - The parsed file, of any shape.
 */
export function getReferenceFindings(file: unknown): ConfigurationFinding[] {
  const parsed = outlineSchema.safeParse(file);
  if (!parsed.success) {
    return [];
  }
  const outline = parsed.data;
  return [
    ...getDuplicateFindings(outline),
    ...getZoneFindings(outline),
    ...getModelFindings(outline),
    ...getAdapterFindings(outline),
    ...getUnservedFindings(outline),
  ];
}

function getDuplicateFindings(outline: Outline): ConfigurationFinding[] {
  const hosts = [...getNames(outline.engines, ["engines"]), ...getServiceHosts(outline, "name")];
  const tokens = outline.teams.map((team, index) => ({
    path: ["teams", index, "tokenSha256"],
    value: team.tokenSha256,
  }));
  return [
    ...findDuplicates("zone", getNames(outline.zones, ["zones"])),
    ...findDuplicates("model", getNames(outline.models, ["models"])),
    ...findDuplicates("host", hosts),
    ...findDuplicates("service", getNames(outline.services, ["services"])),
    ...findDuplicates("team", getNames(outline.teams, ["teams"])),
    ...findDuplicates("token hash", tokens),
    ...getNestedDuplicateFindings(outline),
  ];
}

function getNestedDuplicateFindings(outline: Outline): ConfigurationFinding[] {
  const findings: ConfigurationFinding[] = [];
  for (const [index, model] of outline.models.entries()) {
    const path = ["models", index, "adapters"];
    findings.push(...findDuplicates("adapter", getOccurrences(model.adapters, path)));
  }
  for (const [index, engine] of outline.engines.entries()) {
    const models = getOccurrences(engine.models, ["engines", index, "models"]);
    const adapters = getOccurrences(engine.adapters, ["engines", index, "adapters"]);
    findings.push(...findDuplicates("model", models), ...findDuplicates("adapter", adapters));
  }
  for (const [index, service] of outline.services.entries()) {
    const routes = service.routes.map((route, position) => ({
      path: ["services", index, "routes", position],
      value: route.path === undefined ? undefined : `${route.method ?? "?"} ${route.path}`,
    }));
    findings.push(...findDuplicates("route", routes));
  }
  return findings;
}

function getZoneFindings(outline: Outline): ConfigurationFinding[] {
  const zones = getValues(outline.zones.map((zone) => zone.name));
  const engines = outline.engines.map((engine, index) => ({
    path: ["engines", index, "zone"],
    value: engine.zone,
  }));
  return findUnknown("zone", [...engines, ...getServiceHosts(outline, "zone")], zones);
}

function getModelFindings(outline: Outline): ConfigurationFinding[] {
  const models = getValues(outline.models.map((model) => model.name));
  const occurrences = outline.engines.flatMap((engine, index) =>
    getOccurrences(engine.models, ["engines", index, "models"]),
  );
  return findUnknown("model", occurrences, models);
}

function getAdapterFindings(outline: Outline): ConfigurationFinding[] {
  const adaptersByModel = new Map(outline.models.map((model) => [model.name, model.adapters]));
  return outline.engines.flatMap((engine, index) => {
    const adapters = (engine.models ?? []).flatMap((model) => adaptersByModel.get(model) ?? []);
    const occurrences = getOccurrences(engine.adapters, ["engines", index, "adapters"]);
    return findUnknown("adapter", occurrences, getValues(adapters));
  });
}

function getUnservedFindings(outline: Outline): ConfigurationFinding[] {
  const serving = outline.engines.filter((engine) => engine.role !== "standby");
  const served = getValues(serving.flatMap((engine) => engine.models ?? []));
  return getNames(outline.models, ["models"])
    .filter(({ value }) => value !== undefined && !served.has(value))
    .map((occurrence) =>
      getFinding(occurrence, `no engine serves model ${getQuoted(occurrence)}`, [
        "a model that an engine outside role standby lists",
      ]),
    );
}

function findDuplicates(kind: string, occurrences: readonly Occurrence[]): ConfigurationFinding[] {
  const firstPaths = new Map<string, string>();
  const findings: ConfigurationFinding[] = [];
  for (const occurrence of occurrences) {
    if (occurrence.value === undefined) {
      continue;
    }
    const first = firstPaths.get(occurrence.value);
    if (first === undefined) {
      firstPaths.set(occurrence.value, formatPath(occurrence.path));
      continue;
    }
    const message = `${kind} ${getQuoted(occurrence)} is already at ${first}`;
    findings.push(getFinding(occurrence, message, ["each only once"]));
  }
  return findings;
}

function findUnknown(
  kind: string,
  occurrences: readonly Occurrence[],
  known: ReadonlySet<string>,
): ConfigurationFinding[] {
  return occurrences
    .filter(({ value }) => value !== undefined && !known.has(value))
    .map((occurrence) => {
      const message = `${kind} ${getQuoted(occurrence)} is not in the configuration`;
      return getFinding(occurrence, message, getListedNames(known));
    });
}

function getFinding(
  occurrence: Occurrence,
  message: string,
  allowed: readonly string[],
): ConfigurationFinding {
  return {
    kind: "reference",
    path: formatPath(occurrence.path),
    value: formatValue(occurrence.path, occurrence.value),
    message,
    allowed: allowed.length === 0 ? "nothing" : allowed.join(", "),
  };
}

function getQuoted(occurrence: Occurrence): string {
  return formatValue(occurrence.path, occurrence.value);
}

const maxShownNames = 20;

function getListedNames(names: ReadonlySet<string>): string[] {
  const shown = [...names].slice(0, maxShownNames);
  return names.size > maxShownNames
    ? [...shown, `and ${String(names.size - maxShownNames)} more`]
    : shown;
}

function getNames(
  items: readonly { readonly name?: string | undefined }[],
  path: ConfigurationPath,
): Occurrence[] {
  return items.map((item, index) => ({ path: [...path, index, "name"], value: item.name }));
}

function getOccurrences(
  values: readonly (string | undefined)[] | undefined,
  path: ConfigurationPath,
): Occurrence[] {
  return (values ?? []).map((value, index) => ({ path: [...path, index], value }));
}

function getServiceHosts(outline: Outline, key: "name" | "zone"): Occurrence[] {
  return outline.services.flatMap((service, index) =>
    service.hosts.map((host, position) => ({
      path: ["services", index, "hosts", position, key],
      value: host[key],
    })),
  );
}

function getValues(values: readonly (string | undefined)[]): Set<string> {
  return new Set(values.filter((value) => value !== undefined));
}
