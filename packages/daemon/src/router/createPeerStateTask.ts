import type { ClockReading, FleetView } from "@pistachioway/kernel";
import { PeerStateTask } from "../fleet/index.js";
import type { Fields, LogLevel } from "../log/line.js";
import type { RegistryTask } from "../registry/index.js";

/** What the task of a router reads and updates. */
export interface PeerStateContext {
  readonly view: FleetView;
  readonly registry: RegistryTask;
  readonly getClocks: () => ClockReading;
  readonly record: (level: LogLevel, event: string, fields: Fields) => void;
}

/**
 * Creates the task that takes configuration and upstreams from peers while the registry cannot be read.
 * @param context - What the task reads and updates.
 */
export function createPeerStateTask({
  view,
  registry,
  getClocks,
  record,
}: PeerStateContext): PeerStateTask {
  return PeerStateTask.create({
    view,
    getClocks,
    getRandom: Math.random,
    isRegistryUnreachable: () => registry.isUnreachable(),
    isRegistryRestoring: () => registry.isRestoring(),
    getVersion: () => registry.getTable()?.version ?? -1,
    getAgeMilliseconds: () => registry.getAgeMilliseconds(),
    onState: (state, askedAt) => {
      registry.handlePeerState(state, askedAt);
    },
    record,
  });
}
