import type { DaemonStatus, EngineStatus, TeamStatus } from "@pistachioway/kernel";
import { formatTable } from "../text/index.js";

const shownDigestCharacters = 12;

/**
 * Formats one row for each daemon.
 * @param statuses - Status reports of the daemons.
 */
export function formatDaemons(statuses: readonly DaemonStatus[]): string {
  return formatTable(
    ["DAEMON", "ZONE", "STATE", "GENERATION", "REVISION", "DIGEST", "PLATFORM", "PEERS", "ACTS"],
    statuses.map((status) => [
      status.process,
      status.zone,
      status.state,
      status.configuration?.generation ?? "-",
      status.configuration?.revision ?? "-",
      status.configuration?.digest.slice(0, shownDigestCharacters) ?? "-",
      formatPlatform(status),
      formatPeers(status),
      formatActs(status),
    ]),
  );
}

function formatPlatform({ platform }: DaemonStatus): string {
  const state = platform.reachable ? "reachable" : "unreachable";
  return platform.isReader ? `${state}, reader` : state;
}

function formatPeers({ peers }: DaemonStatus): string {
  const live = peers.filter(({ state }) => state === "live");
  return `${String(live.length)}/${String(peers.length)} live`;
}

function formatActs({ acts }: DaemonStatus): string {
  return [
    `${String(acts.sending)} sending`,
    `${String(acts.done)} done`,
    `${String(acts.unknown)} unknown`,
    `${String(acts.refused)} refused`,
  ].join(", ");
}

/**
 * Formats one row for each engine, with its states as the daemons see them.
 * @param statuses - Status reports of the daemons.
 */
export function formatEngines(statuses: readonly DaemonStatus[]): string {
  const viewsByName = groupByName(statuses.flatMap(({ engines }) => engines));
  return formatTable(
    ["ENGINE", "ZONE", "STATE", "LOAD", "LIMIT", "MODELS", "REASON"],
    [...viewsByName.values()].map(formatEngineRow),
  );
}

function formatEngineRow(views: readonly EngineStatus[]): (string | number)[] {
  const first = views[0];
  const limits = views.flatMap(({ limit }) => limit ?? []);
  const reasons = new Set(views.map(({ reason }) => reason).filter((reason) => reason !== ""));
  return [
    first?.name ?? "",
    first?.zone ?? "",
    formatStates(views),
    Math.max(...views.map(({ load }) => load)),
    limits.length === 0 ? "-" : Math.min(...limits),
    first?.models.join(" ") ?? "",
    [...reasons].join("; "),
  ];
}

/**
 * Formats one row for each host of a service, with its states as the daemons see them.
 * @param statuses - Status reports of the daemons.
 */
export function formatServices(statuses: readonly DaemonStatus[]): string {
  const hosts = statuses.flatMap(({ services }) =>
    services.flatMap((service) =>
      service.hosts.map((host) => ({ ...host, service: service.name })),
    ),
  );
  return formatTable(
    ["SERVICE", "HOST", "ZONE", "STATE"],
    [...groupByName(hosts).values()].map((views) => [
      views[0]?.service ?? "",
      views[0]?.name ?? "",
      views[0]?.zone ?? "",
      formatStates(views),
    ]),
  );
}

/**
 * Formats one row for each team, summed over the daemons.
 * @param statuses - Status reports of the daemons.
 */
export function formatTeams(statuses: readonly DaemonStatus[]): string {
  const viewsByName = groupByName(statuses.flatMap(({ teams }) => teams));
  return formatTable(
    ["TEAM", "RUNNING", "ADMITTED", "REFUSED"],
    [...viewsByName].map(([name, views]) => [
      name,
      sum(views, ({ running }) => running),
      sum(views, ({ admitted }) => admitted),
      sum(views, ({ refused }) => refused),
    ]),
  );
}

function sum(views: readonly TeamStatus[], getCount: (view: TeamStatus) => number): number {
  return views.reduce((total, view) => total + getCount(view), 0);
}

/** Formats the states of one host; with counts if the daemons see different states. */
function formatStates(views: readonly { readonly state: string }[]): string {
  const counts = new Map<string, number>();
  for (const { state } of views) {
    counts.set(state, (counts.get(state) ?? 0) + 1);
  }
  const states = [...counts];
  const isAgreed = states.length === 1;
  return states
    .map(([state, count]) => (isAgreed ? state : `${state} (${String(count)})`))
    .join(", ");
}

function groupByName<Item extends { readonly name: string }>(
  items: readonly Item[],
): Map<string, Item[]> {
  const groups = new Map<string, Item[]>();
  for (const item of items) {
    const group = groups.get(item.name);
    if (group === undefined) {
      groups.set(item.name, [item]);
    } else {
      group.push(item);
    }
  }
  return groups;
}
