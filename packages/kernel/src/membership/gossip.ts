import type { Instant } from "../kernel/index.js";
import {
  downReportMaxAgeMilliseconds,
  healthReportSends,
  maxHealthReportsPerMessage,
  maxHealthReportsPerTick,
} from "./constants.js";
import { isUnchecked } from "./evaluation.js";
import type { HealthReport } from "./healthReports.js";
import type { GossipEffect } from "./messages.js";
import { isGuardEnabled, type HostRecord, type MembershipState } from "./state.js";
import type { HostReason, HostView } from "./view.js";

/**
 * Queues the health report that a change of a host's state requires, if any.
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
  const report = record === undefined ? undefined : createHealthReport(state, record, after);
  if (report !== undefined && (report.state !== "alive" || wasExcluded(before))) {
    state.queuedHealthReports.set(report.host, { report, remainingSends: healthReportSends });
  }
}

/**
 * Takes the health reports for the next gossip message: queued ones first and, if there is room, one
 * about an ineligible host in round-robin order.
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
  const reports = chosen.map((entry) => entry.report);
  const repeated = reports.length < limit ? takeRoundRobinReport(state) : undefined;
  if (repeated !== undefined) {
    reports.push(repeated);
  }
  return reports.length === 0 ? [] : [{ kind: "gossip", reports }];
}

/**
 * Gets the health reports about all hosts that have been checked, for a peer that asks after a
 * `refresh` effect. The peer handles each as a `peerHealthReport` message.
 * @param state - State to read.
 */
export function getHealthReports(state: MembershipState): HealthReport[] {
  const reports: HealthReport[] = [];
  for (const view of state.hosts.values()) {
    const record = state.hostRecords.get(view.name);
    if (record !== undefined && !isUnchecked(state, record)) {
      const isEligible = view.state === "eligible";
      const report = isEligible
        ? createCurrentReport(state, record)
        : createHealthReport(state, record, view);
      reports.push(...(report === undefined ? [] : [report]));
    }
  }
  return reports;
}

/**
 * Removes the `down` reports that their daemons have not repeated in time, and those of lost daemons.
 * @param state - State to update.
 * @param record - Host whose reports to check.
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

/** Checks whether peers may exclude the host, so that an `alive` report changes their view. */
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

function getPriority(report: HealthReport): number {
  return ["leaving", "listedLeaving", "alive", "down"].indexOf(report.state);
}

function getHealthReportLimit(state: MembershipState): number {
  const perPeerLimit = Math.floor(maxHealthReportsPerTick / Math.max(1, state.daemons.size));
  return Math.max(1, Math.min(maxHealthReportsPerMessage, perPeerLimit));
}

/** Takes the report about the first ineligible host and moves the host to the end of the set. */
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
