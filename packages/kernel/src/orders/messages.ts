import type { Configuration } from "../configuration/index.js";
import type { Instant } from "../kernel/index.js";
import type { Revision } from "../revisions/index.js";
import type { EngineOrder, ObservedEngineState } from "./schema.js";

/** A live daemon, with its zone, by which the owner of an engine is chosen. */
export interface OrderingDaemon {
  readonly name: string;
  readonly zone: string;
}

/** A check that the fault matrix can switch off, to show that its tests detect the failure. */
export type OrderGuard =
  "order-owner" | "order-newest" | "order-confirmed" | "order-carried-fencing" | "order-load-rate";

/** Starts the plug-in; sent exactly once. */
export interface OrdersStart {
  readonly kind: "start";
  readonly daemon: string;
  readonly zone: string;
  readonly disabledGuards?: readonly OrderGuard[];
}

/** The configuration in force; sent again with a new `confirmedAt` after each confirmation. */
export interface OrdersInForce {
  readonly kind: "inForce";
  readonly configuration: Configuration;
  readonly revision: Revision;
  readonly confirmedAt?: Instant;
}

/** The other live daemons; replaces the list sent before. */
export interface OrdersPeers {
  readonly kind: "peers";
  readonly daemons: readonly OrderingDaemon[];
}

/** Reports the state of an engine after an `inspect`. */
export interface OrdersInspected {
  readonly kind: "inspected";
  readonly engine: string;
  readonly observed: ObservedEngineState;
}

/** Reports that an `inspect` failed. */
export interface OrdersInspectFailed {
  readonly kind: "inspectFailed";
  readonly engine: string;
}

/** Result of an order. `stale` contains the fencing token of the engine, which is newer. */
export type OrderResult =
  | { readonly kind: "accepted" }
  | { readonly kind: "stale"; readonly current: number }
  | { readonly kind: "lost" };

/** Reports the end of an `order`. */
export interface OrdersOrdered {
  readonly kind: "ordered";
  readonly engine: string;
  readonly result: OrderResult;
}

/** Checks deadlines; sent about ten times a second. */
export interface OrdersTick {
  readonly kind: "tick";
}

export type OrdersMessage =
  | OrdersStart
  | OrdersInForce
  | OrdersPeers
  | OrdersInspected
  | OrdersInspectFailed
  | OrdersOrdered
  | OrdersTick;

/** Reads the state of an engine; reported by `inspected` or `inspectFailed`. */
export interface OrderInspect {
  readonly kind: "inspect";
  readonly engine: string;
}

/** Sends an order unless `sendBefore` has passed; reported by `ordered`. */
export interface OrderSend {
  readonly kind: "order";
  readonly engine: string;
  readonly order: EngineOrder;
  readonly sendBefore: Instant;
}

/** Requests a read of the platform; answered by `inForce` with a new `confirmedAt`. */
export interface OrderConfirm {
  readonly kind: "confirm";
  readonly revision: Revision;
}

/** Reports that an engine has a newer fencing token than the configuration of this daemon. */
export interface OrderOutdated {
  readonly kind: "outdated";
  readonly engine: string;
  readonly fencing: number;
  readonly current: number;
}

export type OrdersEffect = OrderInspect | OrderSend | OrderConfirm | OrderOutdated;
