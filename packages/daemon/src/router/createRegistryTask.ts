import type { ClockReading, Registry, RouteTable, Upstream } from "@pistachioway/kernel";
import { setTimeout as delay } from "node:timers/promises";
import type { Fields, LogLevel } from "../log/line.js";
import type { RouterMetrics } from "../metrics/RouterMetrics.js";
import { RegistryTask } from "../registry/index.js";

/** What the task of a router depends on. */
export interface RegistryTaskContext {
  readonly registry: Registry;
  readonly metrics: RouterMetrics;
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
  const { registry, metrics, getClocks, record, onTable, onUpstream } = context;
  return RegistryTask.create({
    registry,
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
