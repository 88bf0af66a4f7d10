import { chooseReader, type FleetView, type Registry } from "@pistachioway/kernel";
import { Agent } from "node:http";
import type { Fields, LogLevel } from "../log/line.js";
import type { RouterMetrics } from "../metrics/RouterMetrics.js";
import { fetchRelayedUpdate, FollowingRegistry } from "../registry/index.js";
import type { RouterSettings } from "./settings.js";

/** What the registry of a router depends on. */
export interface FollowingRegistryContext {
  readonly registry: Registry;
  readonly metrics: RouterMetrics;
  readonly getView: () => FleetView;
  readonly getNow: () => number;
  readonly record: (level: LogLevel, event: string, fields: Fields) => void;
}

/**
 * Creates the registry that a router calls: where the settings ask for it, one that follows the readers of its zone.
 * @param settings - Settings of the router.
 * @param context - What it depends on.
 */
export function createFollowingRegistry(
  { registry: { readersPerZone }, listeners, process: { zone } }: RouterSettings,
  { registry, metrics, getView, getNow, record }: FollowingRegistryContext,
): Registry {
  if (readersPerZone === undefined) {
    return registry;
  }
  const agent = new Agent({ keepAlive: true, maxSockets: 1 });
  return FollowingRegistry.create({
    registry,
    chooseReader: (isExcluded) =>
      chooseReader(getView().getLiveStates(getNow()), {
        ownAddress: listeners.datagrams,
        zone,
        readersPerZone,
        isExcluded,
      }),
    fetchUpdate: (address, position, signal) =>
      fetchRelayedUpdate(address, position, agent, signal),
    getNow,
    onCall: (result) => {
      metrics.registryCalls.inc({ call: "reader", result });
    },
    record,
  });
}
