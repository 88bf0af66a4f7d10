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
 * Records a heartbeat of another daemon; heartbeats of an earlier incarnation are ignored.
 * @param state - State to update.
 * @param message - Sender and time of the heartbeat.
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
 * Updates the views of all daemons and returns those that changed.
 * @param state - State to update.
 * @param now - Current time.
 */
export function updateDaemonViews(state: MembershipState, now: Instant): DaemonView[] {
  return [...state.daemonRecords.values()].flatMap((record) => updateView(state, record, now));
}

/**
 * Updates the view of one daemon and returns it if it changed.
 * @param state - State to update.
 * @param name - Name of the daemon.
 * @param now - Current time.
 */
export function updateDaemonView(state: MembershipState, name: string, now: Instant): DaemonView[] {
  const record = state.daemonRecords.get(name);
  return record === undefined ? [] : updateView(state, record, now);
}

/**
 * Removes the daemons that are not listed and send no heartbeats, and returns their names.
 * @param state - State to update.
 * @param now - Current time.
 */
export function removeExpiredDaemons(state: MembershipState, now: Instant): string[] {
  const expired = [...state.daemonRecords.values()].filter((record) => {
    const elapsedMilliseconds = now - Math.max(getTimeoutStart(state, record), record.addedAt);
    return record.listed === undefined && elapsedMilliseconds > daemonExpiryMilliseconds;
  });
  for (const record of expired) {
    state.daemonRecords.delete(record.name);
    state.daemons.delete(record.name);
  }
  return expired.map((record) => record.name);
}

function updateView(state: MembershipState, record: DaemonRecord, now: Instant): DaemonView[] {
  const previous = state.daemons.get(record.name);
  const view = createDaemonView(state, record, now);
  if (previous !== undefined && isSame(previous, view)) {
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
  const elapsedMilliseconds = now - getTimeoutStart(state, record);
  if (elapsedMilliseconds > daemonLostMilliseconds) {
    return "lost";
  }
  const isSuspect = record.lastHeartbeatAt === 0 || elapsedMilliseconds > daemonSuspectMilliseconds;
  return isSuspect ? "suspect" : "live";
}

/** A paused process receives no heartbeats, so timeouts count from the end of the pause. */
function getTimeoutStart(state: MembershipState, record: DaemonRecord): Instant {
  const lastSeenAt = record.lastHeartbeatAt === 0 ? record.addedAt : record.lastHeartbeatAt;
  return Math.max(lastSeenAt, state.resumedAt);
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
