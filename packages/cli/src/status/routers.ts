import type { RouterStatus } from "@pistachioway/kernel";
import { formatTable } from "../text/index.js";

/** Formats one row for each router. */
export function formatRouters(statuses: readonly RouterStatus[]): string {
  const rows = statuses.map((status) => [
    status.name,
    status.zone,
    status.isReady ? "ready" : "not ready",
    status.version ?? "none",
    status.ageMilliseconds ?? "never",
    status.running,
    status.peers.length,
  ]);
  const headings = ["router", "zone", "state", "version", "age ms", "running", "peers"];
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
      [...new Set(views.map(({ state }) => state))].join(", "),
      views.reduce((sum, { running }) => sum + running, 0),
      views.filter(({ isAvoided }) => isAvoided).length,
      views.length,
    ];
  });
  const headings = ["upstream", "service", "zone", "state", "running", "avoided by", "known to"];
  return formatTable(headings, rows);
}

/** Gets what needs an operator's attention, one line each. */
export function getRouterConcerns(statuses: readonly RouterStatus[]): readonly string[] {
  const versions = new Set(statuses.map(({ version }) => version));
  return [
    ...statuses.flatMap(({ name, isReady }) => (isReady ? [] : [`${name} is not ready`])),
    ...statuses.flatMap(({ name, version }) =>
      version === null ? [`${name} has no configuration`] : [],
    ),
    ...(versions.size > 1 ? ["configurations differ"] : []),
    ...statuses.flatMap(({ name, peers }) =>
      peers.length < statuses.length - 1
        ? [`${name} does not receive messages from all queried routers`]
        : [],
    ),
  ];
}
