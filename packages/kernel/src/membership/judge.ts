import type { Instant } from "../kernel/index.js";
import { downFailures, downReporters, refusedHoldMilliseconds } from "./constants.js";
import { hasSaidLeaving } from "./evidence.js";
import type { HostRecord, MembershipState } from "./state.js";
import type { HostReason, HostState } from "./view.js";

/** State of a host and why. */
export interface Verdict {
  readonly state: HostState;
  readonly reason: HostReason;
}

/**
 * Judges whether a host may get new work; the first rule that holds decides.
 * @param state - State to read.
 * @param record - Host to judge.
 * @param now - Current time.
 */
export function judgeHost(state: MembershipState, record: HostRecord, now: Instant): Verdict {
  return (
    judgeLeaving(state, record) ??
    judgeOwnEvidence(record) ??
    judgeReports(state, record) ??
    judgeZone(state, record) ??
    judgeTime(state, record, now) ?? { state: "eligible", reason: "ok" }
  );
}

/**
 * Tells whether nothing is known about a host since this process started or woke up.
 * @param state - State to read.
 * @param record - Host in question.
 */
export function isUnchecked(state: MembershipState, record: HostRecord): boolean {
  return record.checkedAt < state.staleSince;
}

function judgeLeaving(state: MembershipState, record: HostRecord): Verdict | undefined {
  if (isListedLeaving(state, record)) {
    return { state: "leaving", reason: "listed-leaving" };
  }
  return hasSaidLeaving(record) ? { state: "leaving", reason: "said-leaving" } : undefined;
}

/** A list that a peer read counts until this daemon has one as new. */
function isListedLeaving(state: MembershipState, record: HostRecord): boolean {
  const isListedHere = record.listing === "leaving" && record.restartedAt <= record.listedAt;
  const isListedAtPeer =
    record.leavingListRevision > state.listRevision && record.restartedAt <= record.leavingListedAt;
  return isListedHere || isListedAtPeer;
}

function judgeOwnEvidence(record: HostRecord): Verdict | undefined {
  if (record.address === undefined) {
    return { state: "down", reason: "no-address" };
  }
  if (record.failures >= downFailures) {
    return { state: "down", reason: "connect-failed" };
  }
  return record.failures > 0 ? { state: "suspect", reason: "connect-failed" } : undefined;
}

/** Reports of others make a host of this daemon's own zone suspect at most. */
function judgeReports(state: MembershipState, record: HostRecord): Verdict | undefined {
  if (record.downReports.size === 0) {
    return undefined;
  }
  const isDown = record.zone !== state.zone && record.downReports.size >= downReporters;
  return { state: isDown ? "down" : "suspect", reason: "reported-down" };
}

function judgeZone(state: MembershipState, record: HostRecord): Verdict | undefined {
  return state.unreachableZones.has(record.zone)
    ? { state: "down", reason: "zone-unreachable" }
    : undefined;
}

function judgeTime(state: MembershipState, record: HostRecord, now: Instant): Verdict | undefined {
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
