import type { Engine } from "../configuration/index.js";
import type { Instant } from "../kernel/index.js";
import type { OrderConfirm, OrdersEffect, OrdersInspected, OrdersOrdered } from "./messages.js";
import { getNextOrder, isLoadOrder } from "./nextOrder.js";
import type { EngineOrder } from "./schema.js";
import {
  getNextLoadAt,
  isGuardEnabled,
  type EngineOrderState,
  type OrderingConfiguration,
  type OrdersState,
} from "./state.js";

/** Age up to which a confirmation counts for engines that do not check fencing tokens. */
const maxConfirmationAgeMilliseconds = 2000;
const minConfirmIntervalMilliseconds = 1000;
const sendTimeoutMilliseconds = 1000;
const orderTimeoutMilliseconds = 5000;
const inspectTimeoutMilliseconds = 2000;
const inspectPeriodMilliseconds = 5000;
const inspectRetryMilliseconds = 500;

/** Inspects every engine of this daemon whose next inspection is due. */
export function inspectEngines(state: OrdersState, now: Instant): OrdersEffect[] {
  return state.ownEngines.flatMap((engine) => inspectEngine(state, engine, now));
}

/** Sends the next order for the observed state. Each order is based on an inspection of its own. */
export function handleInspected(
  state: OrdersState,
  message: OrdersInspected,
  now: Instant,
): OrdersEffect[] {
  const engineState = state.engineStates.get(message.engine);
  const engine = state.ownEngines.find(({ name }) => name === message.engine);
  const { inForce } = state;
  if (engineState === undefined || engine === undefined || inForce === undefined) {
    return [];
  }
  endInspection(engineState, now + inspectPeriodMilliseconds);
  const { observed } = message;
  engineState.newestFencing = Math.max(engineState.newestFencing, observed.fencing);
  if (
    engineState.newestFencing > inForce.fencing &&
    isGuardEnabled(state, "order-carried-fencing")
  ) {
    return [createOutdated(engine.name, engineState, inForce)];
  }
  const { configuration, fencing } = inForce;
  const order = getNextOrder(configuration, engine, observed, fencing);
  return order === undefined || engineState.orderDeadline !== undefined
    ? []
    : sendOrder(state, engine, engineState, order, now);
}

/** Inspects the engine again after an order, whatever its result. */
export function handleOrdered(
  state: OrdersState,
  message: OrdersOrdered,
  now: Instant,
): OrdersEffect[] {
  const engineState = state.engineStates.get(message.engine);
  const { inForce } = state;
  if (engineState === undefined || inForce === undefined) {
    return [];
  }
  engineState.orderDeadline = undefined;
  engineState.inspectAt = now;
  if (message.result.kind !== "stale") {
    return [];
  }
  engineState.newestFencing = Math.max(engineState.newestFencing, message.result.current);
  return [createOutdated(message.engine, engineState, inForce)];
}

/** Schedules the next inspection after a failed one. */
export function handleInspectFailed(state: OrdersState, name: string, now: Instant): void {
  const engineState = state.engineStates.get(name);
  if (engineState !== undefined) {
    endInspection(engineState, now + inspectPeriodMilliseconds);
  }
}

function inspectEngine(state: OrdersState, engine: Engine, now: Instant): OrdersEffect[] {
  const engineState = getOrAddEngineState(state, engine);
  if (engineState.orderDeadline !== undefined && engineState.orderDeadline <= now) {
    engineState.orderDeadline = undefined;
  }
  if (engineState.inspectDeadline !== undefined && engineState.inspectDeadline <= now) {
    endInspection(engineState, now);
  }
  const isBusy =
    engineState.orderDeadline !== undefined || engineState.inspectDeadline !== undefined;
  if (isBusy || engineState.inspectAt > now) {
    return [];
  }
  engineState.inspectDeadline = now + inspectTimeoutMilliseconds;
  return [{ kind: "inspect", engine: engine.name }];
}

function getOrAddEngineState(state: OrdersState, engine: Engine): EngineOrderState {
  const engineState = state.engineStates.get(engine.name) ?? { inspectAt: 0, newestFencing: 0 };
  state.engineStates.set(engine.name, engineState);
  return engineState;
}

function endInspection(engineState: EngineOrderState, inspectAt: Instant): void {
  engineState.inspectDeadline = undefined;
  engineState.inspectAt = inspectAt;
}

function sendOrder(
  state: OrdersState,
  engine: Engine,
  engineState: EngineOrderState,
  order: EngineOrder,
  now: Instant,
): OrdersEffect[] {
  if (
    !engine.checksFencing &&
    !isRecentlyConfirmed(state, now) &&
    isGuardEnabled(state, "order-confirmed")
  ) {
    engineState.inspectAt = now + inspectRetryMilliseconds;
    return confirm(state, now);
  }
  const nextLoadAt = getNextLoadAt(state);
  if (isLoadOrder(order) && nextLoadAt > now && isGuardEnabled(state, "order-load-rate")) {
    engineState.inspectAt = Math.min(nextLoadAt, now + inspectPeriodMilliseconds);
    return [];
  }
  state.lastLoadAt = isLoadOrder(order) ? now : state.lastLoadAt;
  engineState.orderDeadline = now + orderTimeoutMilliseconds;
  return [{ kind: "order", engine: engine.name, order, sendBefore: now + sendTimeoutMilliseconds }];
}

function isRecentlyConfirmed(state: OrdersState, now: Instant): boolean {
  const confirmedAt = state.inForce?.confirmedAt;
  return confirmedAt !== undefined && now - confirmedAt <= maxConfirmationAgeMilliseconds;
}

function confirm(state: OrdersState, now: Instant): OrderConfirm[] {
  if (state.inForce === undefined || state.nextConfirmationAt > now) {
    return [];
  }
  state.nextConfirmationAt = now + minConfirmIntervalMilliseconds;
  return [{ kind: "confirm", revision: state.inForce.revision }];
}

function createOutdated(
  engine: string,
  engineState: EngineOrderState,
  inForce: OrderingConfiguration,
): OrdersEffect {
  const { fencing } = inForce;
  return { kind: "outdated", engine, fencing, current: engineState.newestFencing };
}
