/** Derives orders to engines from the configuration in force; its revision is the fencing token. */
import { pluginRegistry, type Instant, type Plugin } from "../kernel/index.js";
import { compareRevisions } from "../revisions/index.js";
import { getFencingToken } from "./getFencingToken.js";
import type {
  OrderingDaemon,
  OrdersEffect,
  OrdersInForce,
  OrdersMessage,
  OrdersPeers,
} from "./messages.js";
import { handleInspected, handleInspectFailed, handleOrdered, inspectEngines } from "./ordering.js";
import { OrdersStartError } from "./OrdersStartError.js";
import { createOrdersState, isGuardEnabled, updateOwnEngines, type OrdersState } from "./state.js";

export const ordersPlugin: Plugin<OrdersState, OrdersMessage, OrdersEffect> =
  pluginRegistry.addPlugin({
    name: "orders",
    createState: createOrdersState,
    handle: (state: OrdersState, message: OrdersMessage, now: Instant) => ({
      state,
      effects: handleMessage(state, message, now),
    }),
  });

function handleMessage(state: OrdersState, message: OrdersMessage, now: Instant): OrdersEffect[] {
  if ((state.self === undefined) !== (message.kind === "start")) {
    throw new OrdersStartError(message.kind);
  }
  return [...applyMessage(state, message, now), ...inspectEngines(state, now)];
}

function applyMessage(state: OrdersState, message: OrdersMessage, now: Instant): OrdersEffect[] {
  switch (message.kind) {
    case "start":
      state.self = { name: message.daemon, zone: message.zone };
      state.startedAt = now;
      state.disabledGuards = new Set(message.disabledGuards);
      return [];
    case "inForce":
      setConfiguration(state, message, now);
      return [];
    case "peers":
      setPeers(state, message);
      return [];
    case "inspected":
      return handleInspected(state, message, now);
    case "inspectFailed":
      handleInspectFailed(state, message.engine, now);
      return [];
    case "ordered":
      return handleOrdered(state, message, now);
    case "tick":
      return [];
  }
}

function setConfiguration(state: OrdersState, message: OrdersInForce, now: Instant): void {
  const { configuration, revision, confirmedAt } = message;
  const previous = state.inForce?.revision;
  const order = previous === undefined ? 1 : compareRevisions(revision, previous);
  if (order < 0 && isGuardEnabled(state, "order-newest")) {
    return;
  }
  state.inForce = { configuration, revision, fencing: getFencingToken(revision), confirmedAt };
  if (order !== 0) {
    refreshEngines(state);
    state.engineStates.forEach((engineState) => (engineState.inspectAt = now));
  }
}

function setPeers(state: OrdersState, { daemons }: OrdersPeers): void {
  const describePeers = (peers: readonly OrderingDaemon[]): string =>
    peers.map(({ name, zone }) => `${name} ${zone}`).join();
  if (describePeers(daemons) !== describePeers(state.peers)) {
    state.peers = daemons;
    refreshEngines(state);
  }
}

function refreshEngines(state: OrdersState): void {
  updateOwnEngines(state);
  const names = new Set(state.ownEngines.map(({ name }) => name));
  for (const name of state.engineStates.keys()) {
    if (!names.has(name)) {
      state.engineStates.delete(name);
    }
  }
}
