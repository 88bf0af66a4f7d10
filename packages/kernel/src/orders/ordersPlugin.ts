/** Derives orders to engines from the configuration in force, whose revision fences them. */
import { pluginRegistry, type Instant, type Plugin } from "../kernel/index.js";
import { compareRevisions } from "../revisions/index.js";
import { getFencing } from "./getFencing.js";
import type {
  OrderingDaemon,
  OrdersEffect,
  OrdersInForce,
  OrdersMessage,
  OrdersPeers,
} from "./messages.js";
import { handleCarried, handleInspectFailed, handleOrdered, inspectEngines } from "./ordering.js";
import { OrdersStartError } from "./OrdersStartError.js";
import { chooseOwnEngines, createOrdersState, isGuarded, type OrdersState } from "./state.js";

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
  return [...handleSingle(state, message, now), ...inspectEngines(state, now)];
}

function handleSingle(state: OrdersState, message: OrdersMessage, now: Instant): OrdersEffect[] {
  switch (message.kind) {
    case "start":
      state.self = { name: message.daemon, zone: message.zone };
      state.startedAt = now;
      state.disabledGuards = new Set(message.disabledGuards);
      return [];
    case "inForce":
      takeConfiguration(state, message, now);
      return [];
    case "peers":
      takePeers(state, message);
      return [];
    case "carried":
      return handleCarried(state, message, now);
    case "inspectFailed":
      handleInspectFailed(state, message.engine, now);
      return [];
    case "ordered":
      return handleOrdered(state, message, now);
    case "tick":
      return [];
  }
}

function takeConfiguration(state: OrdersState, message: OrdersInForce, now: Instant): void {
  const { configuration, revision, confirmedAt } = message;
  const former = state.inForce?.revision;
  const difference = former === undefined ? 1 : compareRevisions(revision, former);
  if (difference < 0 && isGuarded(state, "order-newest")) {
    return;
  }
  state.inForce = { configuration, revision, fencing: getFencing(revision), confirmedAt };
  if (difference !== 0) {
    takeEngines(state);
    state.desks.forEach((desk) => (desk.inspectAt = now));
  }
}

function takePeers(state: OrdersState, { daemons }: OrdersPeers): void {
  const getNames = (peers: readonly OrderingDaemon[]): string =>
    peers.map(({ name, zone }) => `${name} ${zone}`).join();
  if (getNames(daemons) !== getNames(state.peers)) {
    state.peers = daemons;
    takeEngines(state);
  }
}

function takeEngines(state: OrdersState): void {
  chooseOwnEngines(state);
  const names = new Set(state.ownEngines.map(({ name }) => name));
  for (const name of state.desks.keys()) {
    if (!names.has(name)) {
      state.desks.delete(name);
    }
  }
}
