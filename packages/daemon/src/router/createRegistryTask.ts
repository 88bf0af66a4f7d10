import type { ClockReading, FleetView, Registry, RouteTable, Upstream } from "@pistachioway/kernel";
import { setTimeout as delay } from "node:timers/promises";
import type { Fields, LogLevel } from "../log/line.js";
import type { RouterMetrics } from "../metrics/RouterMetrics.js";
import { RegistryTask } from "../registry/index.js";
import { createFollowingRegistry } from "./createFollowingRegistry.js";
import type { RouterSettings } from "./settings.js";

/** What the task of a router depends on. */
export interface RegistryTaskContext {
  readonly settings: RouterSettings;
  readonly registry: Registry;
  readonly metrics: RouterMetrics;
  /** Gets the other routers, of which this one may follow one. */
  readonly getView: () => FleetView;
  readonly getClocks: () => ClockReading;
  readonly record: (level: LogLevel, event: string, fields: Fields) => void;
  /** Applies a configuration that comes into force. */
  readonly onTable: (table: RouteTable) => void;
  /** Receives each upstream that is listed. */
  readonly onUpstream: (upstream: Upstream) => void;
}

/**
 * Creates the task of a router that follows the registry.
 * @param context - What it depends on.
 */
export function createRegistryTask(context: RegistryTaskContext): RegistryTask {
  const { settings, metrics, getClocks, record, onTable, onUpstream } = context;
  const getNow = (): number => getClocks().monotonic;
  return RegistryTask.create({
    registry: createFollowingRegistry(settings, { ...context, getNow }),
    getClocks,
    pause: (milliseconds, signal) =>
      delay(milliseconds, undefined, { signal }).catch(() => undefined),
    record,
    onTable,
    onUpstream,
    onCall: (call, result) => {
      metrics.registryCalls.inc({ call, result });
    },
  });
}
