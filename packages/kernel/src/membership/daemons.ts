import type { Instant } from "../kernel/index.js";
import {
  daemonExpiryMilliseconds,
  daemonLostMilliseconds,
  daemonSuspectMilliseconds,
} from "./constants.js";
import type { HeartbeatMessage } from "./messages.js";
import type { DaemonRecord, MembershipState } from "./state.js";
import type { DaemonState, DaemonView } from "./view.js";

/**
 * Notes that a daemon was heard of; an earlier start of it is ignored.
 * @param state - State to update.
 * @param message - Who was heard, and when.
 */
export function addHeartbeat(state: MembershipState, message: HeartbeatMessage): void {
  if (message.daemon === state.daemon) {
    return;
  }
  const record = state.daemonRecords.get(message.daemon) ?? createRecord(state, message);
  if (message.incarnation < record.incarnation) {
    return;
  }
  record.zone = message.zone;
  record.incarnation = message.incarnation;
  record.lastHeartbeatAt = Math.max(record.lastHeartbeatAt, message.at);
}

/**
 * Brings the views of all daemons up to date and returns those that changed.
 * @param state - State to update.
 * @param now - Current time.
 */
export function updateDaemonViews(state: MembershipState, now: Instant): DaemonView[] {
  return [...state.daemonRecords.values()].flatMap((record) => updateView(state, record, now));
}

/**
 * Brings the view of one daemon up to date and returns it if it changed.
 * @param state - State to update.
 * @param name - Name of the daemon.
 * @param now - Current time.
 */
export function updateDaemonView(state: MembershipState, name: string, now: Instant): DaemonView[] {
  const record = state.daemonRecords.get(name);
  return record === undefined ? [] : updateView(state, record, now);
}

/**
 * Forgets the daemons that are neither listed nor heard of, and returns their names.
 * @param state - State to update.
 * @param now - Current time.
 */
export function removeExpiredDaemons(state: MembershipState, now: Instant): string[] {
  const forgotten = [...state.daemonRecords.values()].filter((record) => {
    const silence = now - Math.max(getTimeoutStart(state, record), record.addedAt);
    return record.listed === undefined && silence > daemonExpiryMilliseconds;
  });
  for (const record of forgotten) {
    state.daemonRecords.delete(record.name);
    state.daemons.delete(record.name);
  }
  return forgotten.map((record) => record.name);
}

function updateView(state: MembershipState, record: DaemonRecord, now: Instant): DaemonView[] {
  const known = state.daemons.get(record.name);
  const view = createDaemonView(state, record, now);
  if (known !== undefined && isSame(known, view)) {
    return [];
  }
  state.daemons.set(record.name, view);
  return [view];
}

function createRecord(state: MembershipState, message: HeartbeatMessage): DaemonRecord {
  const record = {
    name: message.daemon,
    zone: message.zone,
    incarnation: message.incarnation,
    lastHeartbeatAt: 0,
    addedAt: message.at,
    listed: state.listedHosts.get(message.daemon),
  };
  state.daemonRecords.set(record.name, record);
  return record;
}

function createDaemonView(state: MembershipState, record: DaemonRecord, now: Instant): DaemonView {
  return {
    name: record.name,
    zone: record.zone,
    incarnation: record.incarnation,
    state: getDaemonState(state, record, now),
    isListed: record.listed !== undefined,
    isLeaving: record.listed?.state === "leaving",
    peerAddress: record.listed?.peerAddress,
    datagramAddress: record.listed?.datagramAddress,
    operationsAddress: record.listed?.operationsAddress,
  };
}

function getDaemonState(state: MembershipState, record: DaemonRecord, now: Instant): DaemonState {
  const silence = now - getTimeoutStart(state, record);
  if (silence > daemonLostMilliseconds) {
    return "lost";
  }
  const isSuspect = record.lastHeartbeatAt === 0 || silence > daemonSuspectMilliseconds;
  return isSuspect ? "suspect" : "live";
}

/** While this process was paused nobody could be heard, so silence counts from its end. */
function getTimeoutStart(state: MembershipState, record: DaemonRecord): Instant {
  const lastSign = record.lastHeartbeatAt === 0 ? record.addedAt : record.lastHeartbeatAt;
  return Math.max(lastSign, state.resumedAt);
}

function isSame(a: DaemonView, b: DaemonView): boolean {
  return (
    a.state === b.state &&
    a.zone === b.zone &&
    a.incarnation === b.incarnation &&
    a.isListed === b.isListed &&
    a.isLeaving === b.isLeaving &&
    a.peerAddress === b.peerAddress &&
    a.datagramAddress === b.datagramAddress &&
    a.operationsAddress === b.operationsAddress
  );
}
