import type { Host } from "../hosts/index.js";
import type { HostListMessage, UpstreamsMessage } from "./messages.js";
import {
  createHostRecord,
  isGuardEnabled,
  type HostRecord,
  type MembershipState,
} from "./state.js";

/**
 * Sets the upstream hosts of a configuration and returns the names that it no longer contains.
 * @param state - State to update.
 * @param message - Engines and services of the configuration.
 */
export function setUpstreams(state: MembershipState, message: UpstreamsMessage): string[] {
  const names = new Set<string>();
  for (const engine of message.engines) {
    names.add(engine.name);
    setUpstream(state, engine.name, "engine", engine.zone);
  }
  for (const host of message.services.flatMap((service) => service.hosts)) {
    names.add(host.name);
    setUpstream(state, host.name, "service", host.zone);
  }
  const dropped = [...state.hostRecords.keys()].filter((name) => !names.has(name));
  for (const name of dropped) {
    state.hostRecords.delete(name);
  }
  return dropped;
}

/**
 * Sets a newer host list; an older or empty one is ignored.
 * @param state - State to update.
 * @param message - Host list.
 * @returns True when the list was set.
 */
export function setHostList(state: MembershipState, message: HostListMessage): boolean {
  const isUsable = message.revision > state.listRevision && message.hosts.length > 0;
  if (!isUsable && isGuardEnabled(state, "host-list-order")) {
    return false;
  }
  state.listRevision = message.revision;
  state.listedAt = message.at;
  state.listedHosts = new Map(message.hosts.map((host) => [host.name, host]));
  for (const record of state.hostRecords.values()) {
    setListing(state, record);
  }
  setListedDaemons(state);
  return true;
}

function setUpstream(
  state: MembershipState,
  name: string,
  role: "engine" | "service",
  zone: string,
): void {
  const record = state.hostRecords.get(name) ?? createHostRecord(name, role, zone);
  record.zone = zone;
  state.hostRecords.set(name, record);
  setListing(state, record);
}

/** A host that is missing from a list keeps its address: lists lag and may be incomplete. */
function setListing(state: MembershipState, record: HostRecord): void {
  const host = state.listedHosts.get(record.name);
  const listing = host?.state ?? (record.listing === "unlisted" ? "unlisted" : "absent");
  if (host === undefined && !isGuardEnabled(state, "host-list-order")) {
    record.address = undefined;
  }
  if (host !== undefined && host.address !== record.address) {
    setAddress(record, host.address);
  }
  if (listing !== record.listing) {
    record.listing = listing;
    record.listedAt = state.listedAt;
  }
}

/** Clears the evidence of failures, since it is about the previous address. */
function setAddress(record: HostRecord, address: string): void {
  record.address = address;
  record.failures = 0;
  record.downReports.clear();
}

function setListedDaemons(state: MembershipState): void {
  const entryHosts = [...state.listedHosts.values()].filter((host) => host.role === "entry");
  for (const host of entryHosts) {
    setListedDaemon(state, host);
  }
  for (const record of state.daemonRecords.values()) {
    record.listed = state.listedHosts.get(record.name);
  }
}

function setListedDaemon(state: MembershipState, host: Host): void {
  const isKnown = state.daemonRecords.has(host.name);
  if (host.name === state.daemon || isKnown) {
    return;
  }
  state.daemonRecords.set(host.name, {
    name: host.name,
    zone: host.zone,
    incarnation: 0,
    lastHeartbeatAt: 0,
    addedAt: state.listedAt,
    listed: host,
  });
}
