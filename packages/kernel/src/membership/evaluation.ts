import type { Instant } from "../kernel/index.js";
import {
  downFailureThreshold,
  downReporterThreshold,
  refusedHoldMilliseconds,
} from "./constants.js";
import { hasReportedLeaving } from "./evidence.js";
import type { HostRecord, MembershipState } from "./state.js";
import type { HostReason, HostState } from "./view.js";

/** State of a host and the reason for it. */
export interface HostEvaluation {
  readonly state: HostState;
  readonly reason: HostReason;
}

/**
 * Evaluates whether a host may get new work; the first rule that applies decides.
 * @param state - State to read.
 * @param record - Host to evaluate.
 * @param now - Current time.
 */
export function evaluateHost(
  state: MembershipState,
  record: HostRecord,
  now: Instant,
): HostEvaluation {
  return (
    evaluateLeaving(state, record) ??
    evaluateOwnEvidence(record) ??
    evaluateDownReports(state, record) ??
    evaluateZone(state, record) ??
    evaluateTimedStates(state, record, now) ?? { state: "eligible", reason: "ok" }
  );
}

/**
 * Checks whether there is no evidence about a host since this process started or resumed.
 * @param state - State to read.
 * @param record - Host to check.
 */
export function isUnchecked(state: MembershipState, record: HostRecord): boolean {
  return record.checkedAt < state.resumedAt;
}

function evaluateLeaving(state: MembershipState, record: HostRecord): HostEvaluation | undefined {
  if (isListedLeaving(state, record)) {
    return { state: "leaving", reason: "listed-leaving" };
  }
  return hasReportedLeaving(record) ? { state: "leaving", reason: "said-leaving" } : undefined;
}

/** A list that a peer has read counts until this daemon has one of the same or a newer revision. */
function isListedLeaving(state: MembershipState, record: HostRecord): boolean {
  const isListedHere = record.listing === "leaving" && record.restartedAt <= record.listedAt;
  const isListedAtPeer =
    record.leavingListRevision > state.listRevision && record.restartedAt <= record.leavingListedAt;
  return isListedHere || isListedAtPeer;
}

function evaluateOwnEvidence(record: HostRecord): HostEvaluation | undefined {
  if (record.address === undefined) {
    return { state: "down", reason: "no-address" };
  }
  if (record.failures >= downFailureThreshold) {
    return { state: "down", reason: "connect-failed" };
  }
  return record.failures > 0 ? { state: "suspect", reason: "connect-failed" } : undefined;
}

/** Other daemons' reports make a host of this daemon's own zone suspect, but never down. */
function evaluateDownReports(
  state: MembershipState,
  record: HostRecord,
): HostEvaluation | undefined {
  if (record.downReports.size === 0) {
    return undefined;
  }
  const isDown = record.zone !== state.zone && record.downReports.size >= downReporterThreshold;
  return { state: isDown ? "down" : "suspect", reason: "reported-down" };
}

function evaluateZone(state: MembershipState, record: HostRecord): HostEvaluation | undefined {
  return state.unreachableZones.has(record.zone)
    ? { state: "down", reason: "zone-unreachable" }
    : undefined;
}

function evaluateTimedStates(
  state: MembershipState,
  record: HostRecord,
  now: Instant,
): HostEvaluation | undefined {
  if (isUnchecked(state, record)) {
    return { state: "suspect", reason: "unchecked" };
  }
  if (now < record.damping.reuseAt) {
    return { state: "damped", reason: "flapping" };
  }
  if (record.refusedAt > 0 && now < record.refusedAt + refusedHoldMilliseconds) {
    return { state: "suspect", reason: "refused" };
  }
  const isDelisted = record.listing === "absent" && record.checkedAt < record.listedAt;
  return isDelisted ? { state: "suspect", reason: "delisted" } : undefined;
}
