import type { Instant } from "../kernel/index.js";
import {
  downFailureThreshold,
  leavingHoldMilliseconds,
  maxClockSkewMilliseconds,
  probePeriodMilliseconds,
} from "./constants.js";
import { addFlap } from "./damping.js";
import type { ObservationMessage, PeerHealthReportMessage } from "./messages.js";
import type { HostRecord } from "./state.js";

/**
 * Updates a host with what this daemon observed of it.
 * @param record - Host that was observed.
 * @param message - Observation.
 * @param now - Current time.
 */
export function addObservation(
  record: HostRecord,
  message: ObservationMessage,
  now: Instant,
): void {
  const at = Math.min(message.at, now);
  if (!updateIncarnation(record, message.incarnation ?? 0, now)) {
    return;
  }
  switch (message.observation) {
    case "connectFailed":
      addConnectFailure(record, at, now);
      return;
    case "leaving":
      addAnswer(record, at);
      addLeaving(record, at, now);
      return;
    case "healthy":
    case "loadReport":
      addAnswer(record, at);
      updateAliveVersion(record, at);
      return;
    case "refused":
      addAnswer(record, at);
      record.refusedAt = Math.max(record.refusedAt, at);
      return;
    case "answered":
      addAnswer(record, at);
  }
}

/**
 * Updates a host with a health report from another daemon.
 * @param record - Host that the report is about.
 * @param message - Health report.
 * @param now - Current time.
 */
export function addPeerHealthReport(
  record: HostRecord,
  message: PeerHealthReportMessage,
  now: Instant,
): void {
  const version = Math.min(message.version, now + maxClockSkewMilliseconds);
  if (!updateIncarnation(record, message.incarnation, now)) {
    return;
  }
  switch (message.state) {
    case "leaving":
      record.leavingVersion = Math.max(record.leavingVersion, version);
      return;
    case "listedLeaving":
      addPeerLeavingListing(record, message.version, now);
      return;
    case "current":
      record.checkedAt = Math.max(record.checkedAt, version);
      return;
    case "alive":
      addPeerAliveReport(record, version, now);
      return;
    case "down":
      addDownReport(record, message.from, version, now);
  }
}

/**
 * Checks whether a host reported that it is leaving and no newer `alive` report overrides that.
 * @param record - Host to check.
 */
export function hasReportedLeaving(record: HostRecord): boolean {
  const overriddenFrom = record.leavingVersion + leavingHoldMilliseconds;
  return record.leavingVersion > 0 && record.aliveVersion < overriddenFrom;
}

/** Returns false when the evidence is about an earlier incarnation of the host. */
function updateIncarnation(record: HostRecord, incarnation: number, now: Instant): boolean {
  if (incarnation === 0 || incarnation === record.incarnation) {
    return true;
  }
  if (incarnation < record.incarnation) {
    return false;
  }
  if (record.incarnation > 0) {
    resetAfterRestart(record, now);
  }
  record.incarnation = incarnation;
  return true;
}

function resetAfterRestart(record: HostRecord, now: Instant): void {
  record.restartedAt = now;
  record.leavingVersion = 0;
  record.failures = 0;
  record.refusedAt = 0;
  record.downReports.clear();
}

function addConnectFailure(record: HostRecord, at: Instant, now: Instant): void {
  if (at < record.answeredAt) {
    return;
  }
  record.failures += 1;
  record.failedAt = Math.max(record.failedAt, at);
  if (record.failures === 1) {
    record.nextProbeAt = Math.min(record.nextProbeAt, now + probePeriodMilliseconds / 4);
  }
  if (record.failures === downFailureThreshold) {
    addFlap(record.damping, now);
  }
}

function addAnswer(record: HostRecord, at: Instant): void {
  record.answeredAt = Math.max(record.answeredAt, at);
  if (at >= record.failedAt) {
    record.failures = 0;
    removeDownReports(record, at);
  }
}

function addLeaving(record: HostRecord, at: Instant, now: Instant): void {
  if (!hasReportedLeaving(record)) {
    addFlap(record.damping, now);
  }
  record.checkedAt = Math.max(record.checkedAt, at);
  record.leavingVersion = Math.max(at, record.leavingVersion + 1, record.aliveVersion + 1);
}

function updateAliveVersion(record: HostRecord, version: number): void {
  record.aliveVersion = Math.max(record.aliveVersion, version);
  record.checkedAt = Math.max(record.checkedAt, version);
}

function addPeerAliveReport(record: HostRecord, version: number, now: Instant): void {
  updateAliveVersion(record, version);
  removeDownReports(record, version);
  if (record.failures > 0) {
    record.nextProbeAt = Math.min(record.nextProbeAt, now);
  }
}

function addPeerLeavingListing(record: HostRecord, revision: number, now: Instant): void {
  if (revision > record.leavingListRevision) {
    record.leavingListRevision = revision;
    record.leavingListedAt = now;
  }
}

function addDownReport(record: HostRecord, from: string, version: number, now: Instant): void {
  if (version <= record.aliveVersion || version <= record.answeredAt) {
    return;
  }
  if (!record.downReports.has(from)) {
    record.nextProbeAt = Math.min(record.nextProbeAt, now);
  }
  record.downReports.set(from, version);
}

function removeDownReports(record: HostRecord, version: number): void {
  for (const [from, reported] of record.downReports) {
    if (reported <= version) {
      record.downReports.delete(from);
    }
  }
}
