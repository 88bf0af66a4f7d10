import type { Instant } from "../kernel/index.js";
import { ActKey } from "./ActKey.js";
import type {
  ActsAdopt,
  ActsEffect,
  ActsHandOver,
  ActsTransferred,
  DaemonIncarnation,
} from "./messages.js";
import { getConcludedBytes } from "./records.js";
import type { ActTable, ConcludedAct } from "./schema.js";
import {
  createHolding,
  getHoldingId,
  getSelfOrThrow,
  isGuardEnabled,
  reject,
  removeRecord,
  type ActRecord,
  type ActsState,
  type Holding,
} from "./state.js";
import { handleSubmit } from "./submit.js";

/** Begins the hand-over of every held table. Once set, the successor of a table does not change. */
export function handleHandOver(state: ActsState, message: ActsHandOver): ActsEffect[] {
  const effects: ActsEffect[] = [];
  for (const holding of state.holdings.values()) {
    if (holding.phase === "held") {
      holding.phase = "closing";
      holding.successor = message.successor;
      effects.push(...releaseWhenIdle(state, holding));
    }
  }
  return effects;
}

/**
 * Transfers a closing table once none of its acts is running. The table is released before the
 * transfer, so that two daemons never run its acts at the same time.
 */
export function releaseWhenIdle(state: ActsState, holding: Holding): ActsEffect[] {
  const { successor } = holding;
  if (holding.phase !== "closing" || successor === undefined || isRunning(state, holding)) {
    return [];
  }
  const table = createTable(state, holding);
  if (isGuardEnabled(state, "hand-over-release")) {
    holding.phase = "handing-over";
    [...holding.acts.values()].forEach((record) => {
      removeRecord(state, holding, record);
    });
  } else {
    holding.phase = "held";
  }
  return [{ kind: "transfer", successor, table }];
}

/** Ends a hand-over and handles the requests that were queued during it. */
export function handleTransferred(
  state: ActsState,
  message: ActsTransferred,
  now: Instant,
): ActsEffect[] {
  const holding = state.holdings.get(getHoldingId(message.issuer, message.incarnation));
  if (holding?.phase !== "handing-over") {
    return [];
  }
  holding.phase = message.accepted ? "moved" : "lost";
  const queue = holding.queue;
  holding.queue = [];
  return queue.flatMap((submit) => handleSubmit(state, submit, now));
}

/** Adopts a table whose successor is this incarnation. A stopping daemon hands it over at once. */
export function handleAdopt(state: ActsState, message: ActsAdopt): ActsEffect[] {
  const { requestId, successor, table } = message;
  const { issuer, incarnation } = table;
  const id = getHoldingId(issuer, incarnation);
  const refusal = getAdoptionRefusal(state, successor, table);
  if (refusal !== undefined) {
    const message = `table "${id}" is not adopted: ${refusal}`;
    return [reject(requestId, "act-hand-over", "unknown", message)];
  }
  const adopted: ActsEffect = { kind: "adopted", requestId, issuer, incarnation };
  const isRepeat = state.holdings.has(id) && isGuardEnabled(state, "hand-over-once");
  return isRepeat ? [adopted] : [adopted, ...handOverAdopted(state, addAdopted(state, table))];
}

function getAdoptionRefusal(
  state: ActsState,
  successor: DaemonIncarnation,
  table: ActTable,
): string | undefined {
  const self = getSelfOrThrow(state);
  const isForSelf = successor.name === self.name && successor.incarnation === self.incarnation;
  if (!isForSelf && isGuardEnabled(state, "hand-over-incarnation")) {
    return `it names incarnation "${successor.incarnation}" of daemon "${successor.name}"`;
  }
  if (state.holdings.has(getHoldingId(table.issuer, table.incarnation))) {
    return undefined;
  }
  if (table.lastExpiresAt <= state.latestTime) {
    return "all its keys have expired";
  }
  return hasCapacity(state, table) ? undefined : `daemon "${self.name}" has no room for it`;
}

function isRunning(state: ActsState, holding: Holding): boolean {
  return [...state.running.values()].some(({ holdingId }) => holdingId === holding.id);
}

function hasCapacity(state: ActsState, table: ActTable): boolean {
  const bytes = table.acts.reduce((sum, act) => sum + getConcludedBytes(act.conclusion), 0);
  const { maxActs, maxBytes } = state.limits;
  return state.actCount + table.acts.length <= maxActs && state.bytes + bytes <= maxBytes;
}

function addAdopted(state: ActsState, table: ActTable): Holding {
  const owner = { name: table.issuer, incarnation: table.incarnation };
  const holding = createHolding(owner, table.secret, table.latestTime, table.lastExpiresAt);
  state.holdings.set(holding.id, holding);
  for (const act of table.acts) {
    const record = createRecord(holding, act);
    holding.acts.set(act.sequence, record);
    state.actCount += 1;
    state.bytes += record.bytes;
  }
  return holding;
}

/** Hands an adopted table over to the successor of this daemon's own table, if it has one. */
function handOverAdopted(state: ActsState, holding: Holding): ActsEffect[] {
  const { name, incarnation } = getSelfOrThrow(state);
  const successor = state.holdings.get(getHoldingId(name, incarnation))?.successor;
  if (successor === undefined) {
    return [];
  }
  holding.phase = "closing";
  holding.successor = successor;
  return releaseWhenIdle(state, holding);
}

function createTable(state: ActsState, holding: Holding): ActTable {
  return {
    issuer: holding.issuer,
    incarnation: holding.incarnation,
    secret: holding.secret,
    latestTime: Math.max(state.latestTime, holding.latestTime),
    lastExpiresAt: holding.lastExpiresAt,
    acts: [...holding.acts.values()].flatMap(({ sequence, fingerprint, expiresAt, conclusion }) =>
      conclusion === undefined ? [] : [{ sequence, fingerprint, expiresAt, conclusion }],
    ),
  };
}

function createRecord(holding: Holding, act: ConcludedAct): ActRecord {
  const { issuer, incarnation, secret, id } = holding;
  const key = ActKey.create(issuer, incarnation, act.sequence, act.expiresAt, secret);
  return {
    actId: key.actId,
    holdingId: id,
    key: key.text,
    service: "",
    sequence: act.sequence,
    fingerprint: act.fingerprint,
    expiresAt: act.expiresAt,
    attempts: 0,
    attemptId: "",
    bytes: getConcludedBytes(act.conclusion),
    waiters: [],
    conclusion: act.conclusion,
  };
}
