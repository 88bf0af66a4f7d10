import type { Instant } from "../kernel/index.js";
import {
  downFailureThreshold,
  leavingRecheckMilliseconds,
  maxExtraProbes,
  maxProbePeriodMilliseconds,
  probePeriodMilliseconds,
} from "./constants.js";
import { getFraction, getHash } from "./hash.js";
import { hasReportedLeaving } from "./evidence.js";
import { isUnchecked } from "./evaluation.js";
import type { ProbeEffect } from "./messages.js";
import type { HostRecord, MembershipState } from "./state.js";

/**
 * Creates the probes that are due: of the hosts in the daemon's own share, and of a limited number
 * of other hosts whose state it has to check itself.
 * @param state - State to update.
 * @param now - Current time.
 */
export function takeDueProbes(state: MembershipState, now: Instant): ProbeEffect[] {
  state.probeShare ??= findProbeShare(state);
  const probes: ProbeEffect[] = [];
  for (const name of state.probeShare) {
    addProbe(state, name, now, probes);
  }
  const limit = probes.length + maxExtraProbes;
  for (const name of getExtraHosts(state, now)) {
    if (probes.length < limit) {
      addProbe(state, name, now, probes);
    }
  }
  return probes;
}

/**
 * Gets the daemon that probes a host: the first candidate in rendezvous hashing order.
 * @param host - Name of the host.
 * @param daemons - Names of the daemons that may probe it.
 */
export function getProber(host: string, daemons: readonly string[]): string | undefined {
  let prober: string | undefined;
  let highest = -1;
  for (const daemon of daemons) {
    const weight = getHash(`${host}/${daemon}`);
    if (weight > highest || (weight === highest && daemon < (prober ?? ""))) {
      highest = weight;
      prober = daemon;
    }
  }
  return prober;
}

/** Hosts are probed from their own zone, or from this zone while theirs has no live daemon. */
function findProbeShare(state: MembershipState): Set<string> {
  const proberNamesByZone = new Map<string, string[]>([[state.zone, [state.daemon]]]);
  for (const daemon of state.daemons.values()) {
    if (daemon.state === "live") {
      const names = proberNamesByZone.get(daemon.zone) ?? [];
      proberNamesByZone.set(daemon.zone, [...names, daemon.name]);
    }
  }
  const ownZoneNames = proberNamesByZone.get(state.zone) ?? [];
  const share = [...state.hostRecords.values()].filter((record) => {
    const names = proberNamesByZone.get(record.zone) ?? ownZoneNames;
    return getProber(record.name, names) === state.daemon;
  });
  return new Set(share.map((record) => record.name));
}

/** Hosts of this daemon's zone come first, since most new work goes there. */
function getExtraHosts(state: MembershipState, now: Instant): string[] {
  const names = [...state.ineligibleHosts].filter((name) => {
    const record = state.hostRecords.get(name);
    return record !== undefined && needsOwnProbe(state, record, now);
  });
  const isInOwnZone = (name: string): boolean => state.hostRecords.get(name)?.zone === state.zone;
  return [...names.filter(isInOwnZone), ...names.filter((name) => !isInOwnZone(name))];
}

function needsOwnProbe(state: MembershipState, record: HostRecord, now: Instant): boolean {
  const isReported = record.downReports.size > 0 && record.zone === state.zone;
  const isDelisted = record.listing === "absent" && record.checkedAt < record.listedAt;
  const isUncertain = isReported || isDelisted || isLeavingRecheckDue(state, record, now);
  return record.failures > 0 || isUnchecked(state, record) || isUncertain;
}

/** The report of the host's return may have been lost. Each daemon has its own recheck time. */
function isLeavingRecheckDue(state: MembershipState, record: HostRecord, now: Instant): boolean {
  const jitter = 1 + getFraction(`${record.name}/${state.daemon}`);
  const recheckAt = record.leavingVersion + leavingRecheckMilliseconds * jitter;
  return hasReportedLeaving(record) && now >= recheckAt;
}

function addProbe(state: MembershipState, name: string, now: Instant, probes: ProbeEffect[]): void {
  const record = state.hostRecords.get(name);
  if (record?.address === undefined || now < record.nextProbeAt) {
    return;
  }
  const isOwn = state.probeShare?.has(name) === true;
  record.nextProbeAt = now + (isOwn ? probePeriodMilliseconds : getBackoff(record));
  probes.push({ kind: "probe", host: name, role: record.role, address: record.address });
}

function getBackoff(record: HostRecord): number {
  const doublings = Math.max(0, Math.min(record.failures - downFailureThreshold, 8));
  return Math.min(probePeriodMilliseconds * 2 ** doublings, maxProbePeriodMilliseconds);
}
