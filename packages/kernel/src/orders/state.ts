import type { Configuration, Engine } from "../configuration/index.js";
import type { Instant } from "../kernel/index.js";
import { getFraction } from "../membership/hash.js";
import type { Revision } from "../revisions/index.js";
import type { OrderGuard, OrderingDaemon } from "./messages.js";

/** What this daemon does with one engine. */
export interface EngineOrderState {
  /** When to read the engine next. */
  inspectAt: Instant;
  /** Deadline of the read under way. */
  inspectDeadline?: Instant;
  /** Deadline of the order under way. */
  orderDeadline?: Instant;
  /** Highest fencing number that the engine was seen to know. */
  newestFencing: number;
}

/** The configuration that orders come from. */
export interface OrderingConfiguration {
  readonly configuration: Configuration;
  readonly revision: Revision;
  readonly fencing: number;
  readonly confirmedAt?: Instant;
}

export interface OrdersState {
  self?: OrderingDaemon;
  startedAt: Instant;
  disabledGuards: ReadonlySet<OrderGuard>;
  inForce?: OrderingConfiguration;
  peers: readonly OrderingDaemon[];
  /** The engines that this daemon orders. */
  ownEngines: readonly Engine[];
  lastLoadAt?: Instant;
  /** Nothing is confirmed again before then. */
  nextConfirmationAt: Instant;
  readonly engineStates: Map<string, EngineOrderState>;
}

/** Creates the state of a daemon that has not started. */
export function createOrdersState(): OrdersState {
  return {
    startedAt: 0,
    disabledGuards: new Set(),
    peers: [],
    ownEngines: [],
    nextConfirmationAt: 0,
    engineStates: new Map(),
  };
}

export function isGuarded(state: OrdersState, guard: OrderGuard): boolean {
  return !state.disabledGuards.has(guard);
}

/**
 * Gets the daemon that orders an engine: the first in rendezvous order among the live ones of the
 * engine's zone, or among all when the zone has none.
 */
export function getOwner(state: OrdersState, engine: Engine): OrderingDaemon | undefined {
  const live = state.self === undefined ? state.peers : [state.self, ...state.peers];
  const sameZone = live.filter(({ zone }) => zone === engine.zone);
  const candidates = sameZone.length > 0 ? sameZone : live;
  let owner: OrderingDaemon | undefined;
  let ownerScore = -1;
  for (const daemon of candidates) {
    const score = getFraction(`${engine.name} ${daemon.name}`);
    if (score > ownerScore) {
      owner = daemon;
      ownerScore = score;
    }
  }
  return owner;
}

/** Chooses anew which engines this daemon orders, after a change of the daemons or the engines. */
export function updateOwnEngines(state: OrdersState): void {
  const engines = state.inForce?.configuration.engines ?? [];
  const isOwn = (engine: Engine): boolean => getOwner(state, engine)?.name === state.self?.name;
  state.ownEngines = isGuarded(state, "order-owner") ? engines.filter(isOwn) : engines;
}

const minuteMilliseconds = 60_000;

/**
 * Gets when this daemon may next have an engine load from the weight store. Its share of the rate
 * is that of the engines it orders; the first load after a start falls at a point of the interval
 * that follows from its name, so that daemons started together do not load together.
 */
export function getNextLoadAt(state: OrdersState): Instant {
  const { configuration } = state.inForce ?? {};
  const ownEngineCount = state.ownEngines.length;
  if (configuration === undefined || ownEngineCount === 0) {
    return Number.POSITIVE_INFINITY;
  }
  const share = ownEngineCount / configuration.engines.length;
  const interval = minuteMilliseconds / (configuration.weightStore.loadsPerMinute * share);
  return state.lastLoadAt === undefined
    ? state.startedAt + interval * getFraction(`load ${state.self?.name ?? ""}`)
    : state.lastLoadAt + interval;
}
