import type { Configuration } from "../configuration/index.js";
import type { Instant } from "../kernel/index.js";
import type { Revision } from "../revisions/index.js";
import type { ObservedEngineState, EngineOrder } from "./schema.js";

/** A live daemon, with the zone by which owners of engines are chosen. */
export interface OrderingDaemon {
  readonly name: string;
  readonly zone: string;
}

/** A check that the fault matrix can switch off, to show that a cell can fail. */
export type OrderGuard =
  "order-owner" | "order-newest" | "order-confirmed" | "order-carried-fencing" | "order-load-rate";

/** Begins the life of a daemon; sent exactly once. */
export interface OrdersStart {
  readonly kind: "start";
  readonly daemon: string;
  readonly zone: string;
  readonly disabledGuards?: readonly OrderGuard[];
}

/** The configuration in force; sent again whenever it was confirmed. */
export interface OrdersInForce {
  readonly kind: "inForce";
  readonly configuration: Configuration;
  readonly revision: Revision;
  readonly confirmedAt?: Instant;
}

/** The other daemons that are live. */
export interface OrdersPeers {
  readonly kind: "peers";
  readonly daemons: readonly OrderingDaemon[];
}

/** The answer to an `inspect`. */
export interface OrdersInspected {
  readonly kind: "inspected";
  readonly engine: string;
  readonly observed: ObservedEngineState;
}

/** An `inspect` that failed. */
export interface OrdersInspectFailed {
  readonly kind: "inspectFailed";
  readonly engine: string;
}

/** What became of an order; `stale` names the engine's fencing number. */
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

/** Keeps deadlines; sent about ten times a second. */
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

/** Reads what an engine carries, to be answered by `inspected` or `inspectFailed`. */
export interface OrderInspect {
  readonly kind: "inspect";
  readonly engine: string;
}

/** Sends an order unless `sendBefore` has passed, and reports by `ordered`. */
export interface OrderSend {
  readonly kind: "order";
  readonly engine: string;
  readonly order: EngineOrder;
  readonly sendBefore: Instant;
}

/** Asks for a reading of the platform, to be answered by `inForce` with its `confirmedAt`. */
export interface OrderConfirm {
  readonly kind: "confirm";
  readonly revision: Revision;
}

/** Reports that an engine knows a newer configuration than this daemon. */
export interface OrderOutdated {
  readonly kind: "outdated";
  readonly engine: string;
  readonly fencing: number;
  readonly current: number;
}

export type OrdersEffect = OrderInspect | OrderSend | OrderConfirm | OrderOutdated;
