import type { RouterStatus } from "@pistachioway/kernel";
import { formatTable } from "../text/index.js";

/** Formats one row for each router. */
export function formatRouters(statuses: readonly RouterStatus[]): string {
  const rows = statuses.map((status) => [
    status.name,
    status.zone,
    status.isReady ? "ready" : "not ready",
    status.version ?? "none",
    status.era ?? "-",
    status.ageMilliseconds ?? "never",
    status.running,
    status.peers.length,
  ]);
  const headings = ["router", "zone", "state", "version", "era", "age ms", "running", "peers"];
  return formatTable(headings, rows);
}

/** Formats one row for each upstream, with its state as the routers that know it see it. */
export function formatUpstreams(statuses: readonly RouterStatus[]): string {
  const ids = new Set(statuses.flatMap(({ upstreams }) => upstreams.map(({ id }) => id)));
  const rows = [...ids].sort().map((id) => {
    const views = statuses.flatMap(({ upstreams }) => upstreams.filter((each) => each.id === id));
    const [first] = views;
    return [
      id,
      first?.service ?? "",
      first?.zone ?? "",
      [...new Set(views.map(getState))].join(", "),
      views.reduce((sum, { running }) => sum + running, 0),
      views.filter(({ isAvoided }) => isAvoided).length,
      Math.max(...views.map(({ restMilliseconds }) => restMilliseconds)),
      views.length,
    ];
  });
  const headings = [
    "upstream",
    "service",
    "zone",
    "state",
    "running",
    "avoided by",
    "rest ms",
    "known to",
  ];
  return formatTable(headings, rows);
}

function formatUnreached(name: string, service: string, peers: readonly string[]): string {
  const through = peers.length === 0 ? "" : `; it serves through ${peers.join(", ")}`;
  return `${name} reaches no upstream of service "${service}" by itself${through}`;
}

/** Gets the state of an upstream; one that announced that it leaves may still be listed as ready. */
function getState({ state, isLeaving, isEvacuated }: RouterStatus["upstreams"][number]): string {
  if (isEvacuated && state === "ready") {
    return "evacuated";
  }
  return isLeaving && state === "ready" ? "leaving" : state;
}

/** Gets what needs an operator's attention, one line each. */
export function getRouterConcerns(statuses: readonly RouterStatus[]): readonly string[] {
  const eras = new Set(statuses.map(({ era }) => era));
  const versions = new Set(statuses.map(({ version }) => version));
  return [
    ...statuses.flatMap(({ name, isReady }) => (isReady ? [] : [`${name} is not ready`])),
    ...statuses.flatMap(({ name, version }) =>
      version === null ? [`${name} has no configuration`] : [],
    ),
    ...statuses.flatMap(({ name, unreachedServices, forwarded }) =>
      unreachedServices.map((service) => formatUnreached(name, service, Object.keys(forwarded))),
    ),
    ...getEvacuationConcerns(statuses),
    ...(versions.size > 1 ? ["configurations differ"] : []),
    ...(eras.size > 1 ? ["eras of the registry differ"] : []),
    ...statuses.flatMap(({ name, peers }) =>
      peers.length < statuses.length - 1
        ? [`${name} does not receive messages from all queried routers`]
        : [],
    ),
  ];
}

/** Gets a line for each evacuated zone, with the routers that do not know of it. */
function getEvacuationConcerns(statuses: readonly RouterStatus[]): readonly string[] {
  const zones = new Set(statuses.flatMap(({ evacuatedZones }) => evacuatedZones));
  return [...zones].sort().map((zone) => {
    const unaware = statuses
      .filter(({ evacuatedZones }) => !evacuatedZones.includes(zone))
      .map(({ name }) => name);
    const text = `zone "${zone}" is evacuated`;
    return unaware.length === 0 ? text : `${text}; not known to ${unaware.join(", ")}`;
  });
}
