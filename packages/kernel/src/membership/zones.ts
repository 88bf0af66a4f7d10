import { unreachableHostThreshold } from "./constants.js";
import type { HostRecord, MembershipState } from "./state.js";

/**
 * Updates which zones are unreachable and returns those that changed.
 *
 * A zone is unreachable when several of its hosts (all, if it has few) fail, none has answered since,
 * and none of its daemons is live. This daemon's own zone is never unreachable: its hosts are
 * evaluated one by one.
 * @param state - State to update.
 */
export function updateZones(state: MembershipState): ReadonlySet<string> {
  const unreachable = findUnreachableZones(state);
  const changed = new Set<string>();
  for (const zone of [...state.unreachableZones, ...unreachable]) {
    if (state.unreachableZones.has(zone) !== unreachable.has(zone)) {
      changed.add(zone);
    }
  }
  state.unreachableZones.clear();
  unreachable.forEach((zone) => state.unreachableZones.add(zone));
  return changed;
}

function findUnreachableZones(state: MembershipState): Set<string> {
  const zones = new Set<string>();
  for (const record of state.hostRecords.values()) {
    if (record.failures > 0 && record.zone !== state.zone) {
      zones.add(record.zone);
    }
  }
  return new Set([...zones].filter((zone) => isUnreachable(state, zone)));
}

function isUnreachable(state: MembershipState, zone: string): boolean {
  const records = [...state.hostRecords.values()].filter((record) => isInZone(record, zone));
  const answeredAt = Math.max(...records.map((record) => record.answeredAt));
  const failing = records.filter((record) => record.failures > 0 && record.failedAt > answeredAt);
  const needed = Math.min(unreachableHostThreshold, records.length);
  return failing.length >= needed && !hasLiveDaemon(state, zone);
}

function isInZone(record: HostRecord, zone: string): boolean {
  return record.zone === zone && record.address !== undefined;
}

function hasLiveDaemon(state: MembershipState, zone: string): boolean {
  return [...state.daemons.values()].some(
    (daemon) => daemon.zone === zone && daemon.state === "live",
  );
}
