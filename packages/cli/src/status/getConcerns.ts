import { formatFinding, type DaemonStatus } from "@pistachioway/kernel";

/**
 * Gets what needs an operator's attention, one line each.
 * Daemons with the same concern share a line.
 * @param statuses - Status reports of the daemons.
 */
export function getConcerns(statuses: readonly DaemonStatus[]): string[] {
  const daemonsByConcern = new Map<string, string[]>();
  for (const status of statuses) {
    for (const concern of getConcernsOfDaemon(status)) {
      addDaemon(daemonsByConcern, concern, status.process);
    }
  }
  const shared = [...daemonsByConcern].map(
    ([concern, daemons]) => `${formatNames(daemons)}: ${concern}`,
  );
  return [...shared, ...getDisagreements(statuses)];
}

const maxShownNames = 5;

function formatNames(names: readonly string[]): string {
  const shown = names.slice(0, maxShownNames).join(", ");
  const hiddenCount = names.length - maxShownNames;
  return hiddenCount > 0 ? `${shown} and ${String(hiddenCount)} more` : shown;
}

function addDaemon(daemonsByKey: Map<string, string[]>, key: string, daemon: string): void {
  daemonsByKey.set(key, [...(daemonsByKey.get(key) ?? []), daemon]);
}

function getConcernsOfDaemon(status: DaemonStatus): string[] {
  const concerns: string[] = [];
  if (status.state !== "ready") {
    concerns.push(`is ${status.state}`);
  }
  if (status.configuration === undefined) {
    concerns.push("has no configuration");
  }
  if (!status.platform.reachable) {
    concerns.push("cannot reach the platform");
  }
  if (status.guards.disabled.length > 0) {
    concerns.push(`runs with disabled guards: ${status.guards.disabled.join(", ")}`);
  }
  concerns.push(...getRefusals(status), ...getLostPeers(status), ...getUnusableHosts(status));
  return concerns;
}

function getRefusals({ refused }: DaemonStatus): string[] {
  if (refused === undefined) {
    return [];
  }
  const revision = String(refused.revision);
  return refused.reasons.map((reason) => `refused revision ${revision}: ${formatFinding(reason)}`);
}

function getLostPeers({ peers }: DaemonStatus): string[] {
  const lost = peers.filter(({ state }) => state === "lost").map(({ name }) => name);
  return lost.map((name) => `receives no messages from ${name}`);
}

function getUnusableHosts({ engines, services }: DaemonStatus): string[] {
  return [...engines, ...services.flatMap(({ hosts }) => hosts)]
    .filter(({ state }) => state !== "eligible")
    .map(({ name, state, reason }) => `sees ${name} as ${state}: ${reason}`);
}

function getDisagreements(statuses: readonly DaemonStatus[]): string[] {
  const daemonsByVersion = new Map<string, string[]>();
  for (const { process, configuration } of statuses) {
    if (configuration !== undefined) {
      const { generation, revision, digest } = configuration;
      const version = `generation ${String(generation)} revision ${String(revision)} digest ${digest}`;
      addDaemon(daemonsByVersion, version, process);
    }
  }
  if (daemonsByVersion.size < 2) {
    return [];
  }
  return [...daemonsByVersion].map(
    ([version, daemons]) => `configurations differ: ${version} on ${formatNames(daemons)}`,
  );
}
