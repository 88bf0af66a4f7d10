import type { Instant } from "../kernel/index.js";
import {
  downReportMaxAgeMilliseconds,
  maxSignsPerDigest,
  maxSignsPerTick,
  signRepeats,
} from "./constants.js";
import { isUnchecked } from "./judge.js";
import type { SpreadEffect } from "./messages.js";
import type { HostSign } from "./signs.js";
import { isGuarded, type HostRecord, type MembershipState } from "./state.js";
import type { HostReason, HostView } from "./view.js";

/**
 * Queues the sign that a change of a host's state calls for, if any.
 * @param state - State to update.
 * @param before - View before the change.
 * @param after - View after the change.
 */
export function queueSign(
  state: MembershipState,
  before: HostView | undefined,
  after: HostView,
): void {
  const record = state.hostRecords.get(after.name);
  const sign = record === undefined ? undefined : createSign(state, record, after);
  if (sign !== undefined && (sign.state !== "alive" || wasExcluded(before))) {
    state.queuedSigns.set(sign.host, { sign, remaining: signRepeats });
  }
}

/**
 * Takes the signs for the next digest: what is new first, then standing ones in turn.
 * @param state - State to update.
 */
export function takeSigns(state: MembershipState): SpreadEffect[] {
  if (!isGuarded(state, "host-sign-spread")) {
    return [];
  }
  const limit = getSignLimit(state);
  const queued = [...state.queuedSigns.values()].sort((a, b) => rank(a.sign) - rank(b.sign));
  const chosen = queued.slice(0, limit);
  for (const entry of chosen) {
    entry.remaining -= 1;
    if (entry.remaining === 0) {
      state.queuedSigns.delete(entry.sign.host);
    }
  }
  const signs = chosen.map((entry) => entry.sign);
  const standing = signs.length < limit ? takeStandingSign(state) : undefined;
  if (standing !== undefined) {
    signs.push(standing);
  }
  return signs.length === 0 ? [] : [{ kind: "spread", signs }];
}

/**
 * Gets the signs about all hosts that this daemon knows something about, for a peer that asks
 * after a `refresh` effect. The peer takes each in as a `peerSign` message.
 * @param state - State to read.
 */
export function getSigns(state: MembershipState): HostSign[] {
  const signs: HostSign[] = [];
  for (const view of state.hosts.values()) {
    const record = state.hostRecords.get(view.name);
    if (record !== undefined && !isUnchecked(state, record)) {
      const isEligible = view.state === "eligible";
      const sign = isEligible ? createCurrentSign(state, record) : createSign(state, record, view);
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
export function dropOldReports(state: MembershipState, record: HostRecord, now: Instant): void {
  for (const [from, version] of record.downReports) {
    const isLost = state.daemons.get(from)?.state === "lost";
    if (isLost || version + downReportMaxAgeMilliseconds < now) {
      record.downReports.delete(from);
    }
  }
}

function createSign(
  state: MembershipState,
  record: HostRecord,
  view: HostView,
): HostSign | undefined {
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

function createCurrentSign(state: MembershipState, record: HostRecord): HostSign {
  const { name: host, incarnation } = record;
  return { host, state: "current", version: state.activeAt, incarnation };
}

function rank(sign: HostSign): number {
  return ["leaving", "listedLeaving", "alive", "down"].indexOf(sign.state);
}

function getSignLimit(state: MembershipState): number {
  const perPeer = Math.floor(maxSignsPerTick / Math.max(1, state.daemons.size));
  return Math.max(1, Math.min(maxSignsPerDigest, perPeer));
}

/** Moves each unsettled host to the end of the set when its turn has come. */
function takeStandingSign(state: MembershipState): HostSign | undefined {
  const name = state.unsettled.values().next().value;
  if (name === undefined) {
    return undefined;
  }
  state.unsettled.delete(name);
  state.unsettled.add(name);
  const record = state.hostRecords.get(name);
  const view = state.hosts.get(name);
  return record === undefined || view === undefined ? undefined : createSign(state, record, view);
}
