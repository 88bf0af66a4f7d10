import { formatFinding, type DaemonStatus } from "@pistachioway/kernel";

/**
 * Lists what an operator should look at, one line each.
 * @param statuses - What the daemons report.
 */
export function getConcerns(statuses: readonly DaemonStatus[]): string[] {
  return [...statuses.flatMap(getConcernsOfDaemon), ...getDisagreements(statuses)];
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
  return concerns.map((concern) => `${status.process}: ${concern}`);
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
  return lost.length === 0 ? [] : [`does not hear ${lost.join(", ")}`];
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
      daemonsByVersion.set(version, [...(daemonsByVersion.get(version) ?? []), process]);
    }
  }
  if (daemonsByVersion.size < 2) {
    return [];
  }
  return [...daemonsByVersion].map(
    ([version, daemons]) => `configurations differ: ${version} on ${daemons.join(", ")}`,
  );
}
