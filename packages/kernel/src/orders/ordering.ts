import type { Engine } from "../configuration/index.js";
import type { Instant } from "../kernel/index.js";
import type { OrderConfirm, OrdersCarried, OrdersEffect, OrdersOrdered } from "./messages.js";
import { getNextOrder, isLoad } from "./nextOrder.js";
import type { EngineOrder } from "./schema.js";
import {
  getNextLoadAt,
  isGuarded,
  type EngineDesk,
  type OrderingConfiguration,
  type OrdersState,
} from "./state.js";

const confirmedMilliseconds = 2000;
const confirmPauseMilliseconds = 1000;
const sendMilliseconds = 1000;
const orderTimeoutMilliseconds = 5000;
const inspectTimeoutMilliseconds = 2000;
const inspectPeriodMilliseconds = 5000;
const inspectSoonMilliseconds = 500;

/** Reads every engine of this daemon that is due. */
export function inspectEngines(state: OrdersState, now: Instant): OrdersEffect[] {
  return state.ownEngines.flatMap((engine) => inspectEngine(state, engine, now));
}

/** Decides on an order by what the engine carries; each order follows a reading of its own. */
export function handleCarried(
  state: OrdersState,
  message: OrdersCarried,
  now: Instant,
): OrdersEffect[] {
  const desk = state.desks.get(message.engine);
  const engine = state.ownEngines.find(({ name }) => name === message.engine);
  const { inForce } = state;
  if (desk === undefined || engine === undefined || inForce === undefined) {
    return [];
  }
  closeReading(desk, now + inspectPeriodMilliseconds);
  const { carried } = message;
  desk.newestFencing = Math.max(desk.newestFencing, carried.fencing);
  if (desk.newestFencing > inForce.fencing && isGuarded(state, "order-carried-fencing")) {
    return [createOutdated(engine.name, desk, inForce)];
  }
  const { configuration, fencing } = inForce;
  const order = getNextOrder(configuration, engine, carried, fencing);
  return order === undefined || desk.orderDeadline !== undefined
    ? []
    : sendOrder(state, engine, desk, order, now);
}

/** Reads the engine back after an order, whatever became of it. */
export function handleOrdered(
  state: OrdersState,
  message: OrdersOrdered,
  now: Instant,
): OrdersEffect[] {
  const desk = state.desks.get(message.engine);
  const { inForce } = state;
  if (desk === undefined || inForce === undefined) {
    return [];
  }
  desk.orderDeadline = undefined;
  desk.inspectAt = now;
  if (message.result.kind !== "stale") {
    return [];
  }
  desk.newestFencing = Math.max(desk.newestFencing, message.result.current);
  return [createOutdated(message.engine, desk, inForce)];
}

/** Reads an engine again soon after a failed reading. */
export function handleInspectFailed(state: OrdersState, name: string, now: Instant): void {
  const desk = state.desks.get(name);
  if (desk !== undefined) {
    closeReading(desk, now + inspectPeriodMilliseconds);
  }
}

function inspectEngine(state: OrdersState, engine: Engine, now: Instant): OrdersEffect[] {
  const desk = getDesk(state, engine);
  if (desk.orderDeadline !== undefined && desk.orderDeadline <= now) {
    desk.orderDeadline = undefined;
  }
  if (desk.inspectDeadline !== undefined && desk.inspectDeadline <= now) {
    closeReading(desk, now);
  }
  const isBusy = desk.orderDeadline !== undefined || desk.inspectDeadline !== undefined;
  if (isBusy || desk.inspectAt > now) {
    return [];
  }
  desk.inspectDeadline = now + inspectTimeoutMilliseconds;
  return [{ kind: "inspect", engine: engine.name }];
}

function getDesk(state: OrdersState, engine: Engine): EngineDesk {
  const desk = state.desks.get(engine.name) ?? { inspectAt: 0, newestFencing: 0 };
  state.desks.set(engine.name, desk);
  return desk;
}

function closeReading(desk: EngineDesk, inspectAt: Instant): void {
  desk.inspectDeadline = undefined;
  desk.inspectAt = inspectAt;
}

function sendOrder(
  state: OrdersState,
  engine: Engine,
  desk: EngineDesk,
  order: EngineOrder,
  now: Instant,
): OrdersEffect[] {
  if (!engine.checksFencing && !isConfirmed(state, now) && isGuarded(state, "order-confirmed")) {
    desk.inspectAt = now + inspectSoonMilliseconds;
    return confirm(state, now);
  }
  const nextLoadAt = getNextLoadAt(state);
  if (isLoad(order) && nextLoadAt > now && isGuarded(state, "order-load-rate")) {
    desk.inspectAt = Math.min(nextLoadAt, now + inspectPeriodMilliseconds);
    return [];
  }
  state.lastLoadAt = isLoad(order) ? now : state.lastLoadAt;
  desk.orderDeadline = now + orderTimeoutMilliseconds;
  return [{ kind: "order", engine: engine.name, order, sendBefore: now + sendMilliseconds }];
}

function isConfirmed(state: OrdersState, now: Instant): boolean {
  const confirmedAt = state.inForce?.confirmedAt;
  return confirmedAt !== undefined && now - confirmedAt <= confirmedMilliseconds;
}

function confirm(state: OrdersState, now: Instant): OrderConfirm[] {
  if (state.inForce === undefined || state.confirmAfter > now) {
    return [];
  }
  state.confirmAfter = now + confirmPauseMilliseconds;
  return [{ kind: "confirm", revision: state.inForce.revision }];
}

function createOutdated(
  engine: string,
  desk: EngineDesk,
  inForce: OrderingConfiguration,
): OrdersEffect {
  const { fencing } = inForce;
  return { kind: "outdated", engine, fencing, current: desk.newestFencing };
}
