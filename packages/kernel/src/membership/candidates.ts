import type { Instant } from "../kernel/index.js";
import { pauseMilliseconds } from "./constants.js";
import type { HostView, MembershipView } from "./view.js";

/** Hosts that may get a new request. */
export interface UsableHosts {
  readonly kind: "hosts";
  readonly hosts: readonly HostView[];
}

/** New work waits until a host has been checked: this process has just started or was paused. */
export interface UncheckedHosts {
  readonly kind: "wait";
}

/** No host may get new work. */
export interface NoUsableHosts {
  readonly kind: "none";
}

export type Candidates = UsableHosts | UncheckedHosts | NoUsableHosts;

/**
 * Gets the hosts that may get a new request: the eligible ones or, without any, the suspect ones,
 * then the damped ones, then those that are down. Leaving hosts are never returned, and unchecked
 * hosts only after they have been checked.
 * @param view - View of the membership plug-in.
 * @param names - Names of the hosts that could serve the request.
 * @param now - Current time.
 */
export function getCandidates(
  view: MembershipView,
  names: Iterable<string>,
  now: Instant,
): Candidates {
  if (now - view.lastMessageAt > pauseMilliseconds) {
    return { kind: "wait" };
  }
  const hosts = getHosts(view, names);
  const usable =
    selectHosts(hosts, (host) => host.state === "eligible") ??
    selectHosts(hosts, (host) => host.state === "suspect" && host.reason !== "unchecked") ??
    selectHosts(hosts, (host) => host.state === "damped");
  if (usable !== undefined) {
    return usable;
  }
  if (hosts.some((host) => host.reason === "unchecked")) {
    return { kind: "wait" };
  }
  return selectHosts(hosts, (host) => host.state === "down") ?? { kind: "none" };
}

function getHosts(view: MembershipView, names: Iterable<string>): HostView[] {
  const hosts: HostView[] = [];
  for (const name of names) {
    const host = view.hosts.get(name);
    if (host?.address !== undefined) {
      hosts.push(host);
    }
  }
  return hosts;
}

function selectHosts(
  hosts: readonly HostView[],
  condition: (host: HostView) => boolean,
): UsableHosts | undefined {
  const selected = hosts.filter(condition);
  return selected.length === 0 ? undefined : { kind: "hosts", hosts: selected };
}
