import type { Instant } from "../kernel/index.js";
import {
  downReportMaxAgeMilliseconds,
  maxHealthReportsPerMessage,
  maxHealthReportsPerTick,
  healthReportSends,
} from "./constants.js";
import { isUnchecked } from "./evaluation.js";
import type { GossipEffect } from "./messages.js";
import type { HealthReport } from "./healthReports.js";
import { isGuardEnabled, type HostRecord, type MembershipState } from "./state.js";
import type { HostReason, HostView } from "./view.js";

/**
 * Queues the sign that a change of a host's state calls for, if any.
 * @param state - State to update.
 * @param before - View before the change.
 * @param after - View after the change.
 */
export function queueHealthReport(
  state: MembershipState,
  before: HostView | undefined,
  after: HostView,
): void {
  const record = state.hostRecords.get(after.name);
  const sign = record === undefined ? undefined : createHealthReport(state, record, after);
  if (sign !== undefined && (sign.state !== "alive" || wasExcluded(before))) {
    state.queuedHealthReports.set(sign.host, { report: sign, remainingSends: healthReportSends });
  }
}

/**
 * Takes the signs for the next digest: what is new first, then standing ones in turn.
 * @param state - State to update.
 */
export function takeHealthReports(state: MembershipState): GossipEffect[] {
  if (!isGuardEnabled(state, "host-sign-spread")) {
    return [];
  }
  const limit = getHealthReportLimit(state);
  const queued = [...state.queuedHealthReports.values()].sort(
    (a, b) => getPriority(a.report) - getPriority(b.report),
  );
  const chosen = queued.slice(0, limit);
  for (const entry of chosen) {
    entry.remainingSends -= 1;
    if (entry.remainingSends === 0) {
      state.queuedHealthReports.delete(entry.report.host);
    }
  }
  const signs = chosen.map((entry) => entry.report);
  const standing = signs.length < limit ? takeRoundRobinReport(state) : undefined;
  if (standing !== undefined) {
    signs.push(standing);
  }
  return signs.length === 0 ? [] : [{ kind: "gossip", reports: signs }];
}

/**
 * Gets the signs about all hosts that this daemon knows something about, for a peer that asks
 * after a `refresh` effect. The peer takes each in as a `peerHealthReport` message.
 * @param state - State to read.
 */
export function getHealthReports(state: MembershipState): HealthReport[] {
  const signs: HealthReport[] = [];
  for (const view of state.hosts.values()) {
    const record = state.hostRecords.get(view.name);
    if (record !== undefined && !isUnchecked(state, record)) {
      const isEligible = view.state === "eligible";
      const sign = isEligible
        ? createCurrentReport(state, record)
        : createHealthReport(state, record, view);
      signs.push(...(sign === undefined ? [] : [sign]));
    }
  }
  return signs;
}

/**
 * Drops the `down` reports of daemons that did not repeat them, and of lost daemons.
 * @param state - State to update.
 * @param record - Host whose reports to look through.
 * @param now - Current time.
 */
export function removeExpiredDownReports(
  state: MembershipState,
  record: HostRecord,
  now: Instant,
): void {
  for (const [from, version] of record.downReports) {
    const isLost = state.daemons.get(from)?.state === "lost";
    if (isLost || version + downReportMaxAgeMilliseconds < now) {
      record.downReports.delete(from);
    }
  }
}

function createHealthReport(
  state: MembershipState,
  record: HostRecord,
  view: HostView,
): HealthReport | undefined {
  const { name: host, incarnation } = record;
  switch (view.reason) {
    case "said-leaving":
      return { host, state: "leaving", version: record.leavingVersion, incarnation };
    case "listed-leaving": {
      const ownRevision = record.listing === "leaving" ? state.listRevision : -1;
      const version = Math.max(ownRevision, record.leavingListRevision);
      return { host, state: "listedLeaving", version, incarnation };
    }
    case "connect-failed":
      return view.state === "down"
        ? { host, state: "down", version: record.failedAt, incarnation }
        : undefined;
    case "ok":
      return record.aliveVersion === 0
        ? undefined
        : { host, state: "alive", version: record.aliveVersion, incarnation };
    default:
      return undefined;
  }
}

/** Whether peers may hold the host for unusable, so that a sign of life is news to them. */
function wasExcluded(view: HostView | undefined): boolean {
  const reasons: (HostReason | undefined)[] = [
    "said-leaving",
    "connect-failed",
    "reported-down",
    "flapping",
  ];
  return reasons.includes(view?.reason);
}

function createCurrentReport(state: MembershipState, record: HostRecord): HealthReport {
  const { name: host, incarnation } = record;
  return { host, state: "current", version: state.lastMessageAt, incarnation };
}

function getPriority(sign: HealthReport): number {
  return ["leaving", "listedLeaving", "alive", "down"].indexOf(sign.state);
}

function getHealthReportLimit(state: MembershipState): number {
  const perPeer = Math.floor(maxHealthReportsPerTick / Math.max(1, state.daemons.size));
  return Math.max(1, Math.min(maxHealthReportsPerMessage, perPeer));
}

/** Moves each unsettled host to the end of the set when its turn has come. */
function takeRoundRobinReport(state: MembershipState): HealthReport | undefined {
  const name = state.ineligibleHosts.values().next().value;
  if (name === undefined) {
    return undefined;
  }
  state.ineligibleHosts.delete(name);
  state.ineligibleHosts.add(name);
  const record = state.hostRecords.get(name);
  const view = state.hosts.get(name);
  return record === undefined || view === undefined
    ? undefined
    : createHealthReport(state, record, view);
}
