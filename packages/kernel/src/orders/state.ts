import type { Configuration, Engine } from "../configuration/index.js";
import type { Instant } from "../kernel/index.js";
import { getFraction } from "../membership/hash.js";
import type { Revision } from "../revisions/index.js";
import type { OrderGuard, OrderingDaemon } from "./messages.js";

/** State of the inspections and orders of one engine. */
export interface EngineOrderState {
  /** Time of the next inspection. */
  inspectAt: Instant;
  /** Deadline of the inspection in progress. */
  inspectDeadline?: Instant;
  /** Deadline of the order in progress. */
  orderDeadline?: Instant;
  /** Highest fencing token that the engine has reported. */
  newestFencing: number;
}

/** The configuration in force, from which orders are derived. */
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
  /** The engines that this daemon sends orders to. */
  ownEngines: readonly Engine[];
  lastLoadAt?: Instant;
  /** Earliest time of the next `confirm`. */
  nextConfirmationAt: Instant;
  readonly engineStates: Map<string, EngineOrderState>;
}

/** Creates the state of a daemon before its `start`. */
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

export function isGuardEnabled(state: OrdersState, guard: OrderGuard): boolean {
  return !state.disabledGuards.has(guard);
}

/**
 * Gets the daemon that sends orders to an engine. Rendezvous hashing chooses it among the live
 * daemons of the engine's zone, or among all live daemons when the zone has none.
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

/** Updates the engines that this daemon sends orders to, after a change of daemons or engines. */
export function updateOwnEngines(state: OrdersState): void {
  const engines = state.inForce?.configuration.engines ?? [];
  const isOwn = (engine: Engine): boolean => getOwner(state, engine)?.name === state.self?.name;
  state.ownEngines = isGuardEnabled(state, "order-owner") ? engines.filter(isOwn) : engines;
}

const minuteMilliseconds = 60_000;

/**
 * Gets the earliest time at which this daemon may order the next load from the weight store. Its
 * share of the load rate is the share of the engines that it owns. The first load after a start is
 * delayed by a fraction of the interval, hashed from the daemon's name, so that daemons that start
 * at the same time do not load at the same time.
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
