import { pluginRegistry, type Instant } from "../kernel/index.js";
import { pauseMilliseconds, refreshPeriodMilliseconds } from "./constants.js";
import {
  addHeartbeat,
  removeExpiredDaemons,
  updateDaemonView,
  updateDaemonViews,
} from "./daemons.js";
import { addObservation, addPeerHealthReport } from "./evidence.js";
import { updateHostViews } from "./hostViews.js";
import { setHostList, setUpstreams } from "./lists.js";
import type {
  MembershipEffect,
  MembershipMessage,
  ObservationMessage,
  PeerHealthReportMessage,
} from "./messages.js";
import { takeDueProbes } from "./probes.js";
import { removeExpiredDownReports, takeHealthReports } from "./gossip.js";
import {
  createMembershipState,
  isGuardEnabled,
  type HostRecord,
  type MembershipState,
} from "./state.js";
import type { DaemonView, HostView, MembershipView } from "./view.js";
import { updateZones } from "./zones.js";

/** Decides which engines, service hosts and daemons may get new work. */
export const membershipPlugin = pluginRegistry.addPlugin<
  MembershipState,
  MembershipMessage,
  MembershipEffect
>({
  name: "membership",
  createState: createMembershipState,
  handle: (state, message, now) => {
    const pauseEffects = detectPause(state, now);
    return { state, effects: [...pauseEffects, ...handle(state, message, now)] };
  },
});

/**
 * Gets the view that the plug-in keeps up to date.
 * @param state - State of the plug-in.
 */
export function getView(state: MembershipState): MembershipView {
  return state.view;
}

/** A gap between messages means that this process was paused or has just started. */
function detectPause(state: MembershipState, now: Instant): MembershipEffect[] {
  const wasPaused = now - state.lastMessageAt > pauseMilliseconds;
  state.lastMessageAt = Math.max(state.lastMessageAt, now);
  if (!wasPaused || !isGuardEnabled(state, "host-pause-check")) {
    return [];
  }
  state.resumedAt = now;
  state.nextRefreshAt = now + refreshPeriodMilliseconds;
  for (const record of state.hostRecords.values()) {
    record.nextProbeAt = now;
  }
  const hosts = updateHostViews(state, state.hostRecords.values(), now);
  return [{ kind: "refresh" }, ...createChangedEffects(state, hosts, [], [])];
}

function handle(
  state: MembershipState,
  message: MembershipMessage,
  now: Instant,
): readonly MembershipEffect[] {
  switch (message.kind) {
    case "identity":
      state.daemon = message.daemon;
      state.zone = message.zone;
      state.disabledGuards = message.disabledGuards ?? [];
      state.probeShare = undefined;
      return [];
    case "configured":
      return changeAllHosts(state, setUpstreams(state, message), now);
    case "hostList":
      return setHostList(state, message) ? changeAllHosts(state, [], now) : [];
    case "observed":
    case "probed":
      return changeHost(state, message, now, (record) => {
        addObservation(record, message, now);
      });
    case "peerHealthReport":
      return changeHost(state, message, now, (record) => {
        addPeerHealthReport(record, message, now);
      });
    case "heartbeat":
      addHeartbeat(state, message);
      return changeDaemons(state, updateDaemonView(state, message.daemon, now), [], now);
    case "tick":
      return handleTick(state, now);
  }
}

function changeAllHosts(
  state: MembershipState,
  removed: readonly string[],
  now: Instant,
): MembershipEffect[] {
  for (const name of removed) {
    state.hosts.delete(name);
    state.ineligibleHosts.delete(name);
    state.queuedHealthReports.delete(name);
  }
  state.probeShare = undefined;
  updateZones(state);
  const hosts = updateHostViews(state, state.hostRecords.values(), now);
  return createChangedEffects(state, hosts, updateDaemonViews(state, now), removed);
}

function changeHost(
  state: MembershipState,
  message: ObservationMessage | PeerHealthReportMessage,
  now: Instant,
  change: (record: HostRecord) => void,
): MembershipEffect[] {
  const record = state.hostRecords.get(message.host);
  if (record === undefined || isIgnored(state, message)) {
    return [];
  }
  const wasFailing = record.failures > 0;
  change(record);
  const isZoneAffected = wasFailing !== record.failures > 0;
  const zones = isZoneAffected ? updateZones(state) : new Set<string>();
  const records = zones.size === 0 ? [record] : [record, ...getHostsOfZones(state, zones)];
  return createChangedEffects(state, updateHostViews(state, records, now), [], []);
}

function isIgnored(
  state: MembershipState,
  message: ObservationMessage | PeerHealthReportMessage,
): boolean {
  const isOwnLeavingObservation =
    message.kind !== "peerHealthReport" && message.observation === "leaving";
  return isOwnLeavingObservation && !isGuardEnabled(state, "host-own-sign");
}

function changeDaemons(
  state: MembershipState,
  daemons: readonly DaemonView[],
  removed: readonly string[],
  now: Instant,
): MembershipEffect[] {
  if (daemons.length === 0 && removed.length === 0) {
    return [];
  }
  state.probeShare = undefined;
  const zones = updateZones(state);
  const hosts = updateHostViews(state, getHostsOfZones(state, zones), now);
  return createChangedEffects(state, hosts, daemons, removed);
}

function handleTick(state: MembershipState, now: Instant): MembershipEffect[] {
  const expired = removeExpiredDaemons(state, now);
  const effects = changeDaemons(state, updateDaemonViews(state, now), expired, now);
  const records = getIneligibleHosts(state);
  for (const record of records) {
    removeExpiredDownReports(state, record, now);
  }
  effects.push(...createChangedEffects(state, updateHostViews(state, records, now), [], []));
  effects.push(
    ...takeDueProbes(state, now),
    ...takeHealthReports(state),
    ...takeDueRefresh(state, now),
  );
  return effects;
}

function takeDueRefresh(state: MembershipState, now: Instant): MembershipEffect[] {
  const isNeeded = getIneligibleHosts(state).some(
    (record) => state.hosts.get(record.name)?.reason === "unchecked",
  );
  if (!isNeeded || now < state.nextRefreshAt) {
    return [];
  }
  state.nextRefreshAt = now + refreshPeriodMilliseconds;
  return [{ kind: "refresh" }];
}

function getIneligibleHosts(state: MembershipState): HostRecord[] {
  return [...state.ineligibleHosts]
    .map((name) => state.hostRecords.get(name))
    .filter((record) => record !== undefined);
}

function getHostsOfZones(state: MembershipState, zones: ReadonlySet<string>): HostRecord[] {
  if (zones.size === 0) {
    return [];
  }
  return [...state.hostRecords.values()].filter((record) => zones.has(record.zone));
}

function createChangedEffects(
  state: MembershipState,
  hosts: readonly HostView[],
  daemons: readonly DaemonView[],
  removed: readonly string[],
): MembershipEffect[] {
  const isChanged = hosts.length > 0 || daemons.length > 0 || removed.length > 0;
  return isChanged ? [{ kind: "changed", view: getView(state), hosts, daemons, removed }] : [];
}
