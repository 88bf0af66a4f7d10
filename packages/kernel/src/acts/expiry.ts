import type { Instant } from "../kernel/index.js";
import type { ActsEffect, ActWithdraw } from "./messages.js";
import {
  getHoldingId,
  getHoldingTime,
  getSelfOrThrow,
  isGuarded,
  reject,
  removeRecord,
  type ActsState,
  type Holding,
} from "./state.js";

/** Answers requests whose deadline has passed, and forgets records whose keys have expired. */
export function handleTick(state: ActsState, now: Instant): ActsEffect[] {
  const effects = [
    ...rejectLateWaiters(state, now),
    ...rejectLateQueue(state, now),
    ...rejectLateForwards(state, now),
  ];
  for (const holding of state.holdings.values()) {
    expireHolding(state, holding, now);
  }
  return effects;
}

/** Forgets a request whose caller went away. */
export function handleWithdraw(state: ActsState, message: ActWithdraw): ActsEffect[] {
  const isOther = (entry: { readonly requestId: string }): boolean =>
    entry.requestId !== message.requestId;
  for (const record of state.running.values()) {
    record.waiters = record.waiters.filter(isOther);
  }
  for (const holding of state.holdings.values()) {
    holding.queue = holding.queue.filter(isOther);
  }
  state.forwards.delete(message.requestId);
  return [];
}

function rejectLateWaiters(state: ActsState, now: Instant): ActsEffect[] {
  return [...state.running.values()].flatMap((record) => {
    const late = record.waiters.filter(({ deadline }) => deadline <= now);
    record.waiters = record.waiters.filter(({ deadline }) => deadline > now);
    return late.map(({ requestId }) => rejectLate(requestId, record.actId));
  });
}

function rejectLateQueue(state: ActsState, now: Instant): ActsEffect[] {
  return [...state.holdings.values()].flatMap((holding) => {
    const late = holding.queue.filter(({ deadline }) => deadline <= now);
    holding.queue = holding.queue.filter(({ deadline }) => deadline > now);
    return late.map(({ requestId }) => rejectLate(requestId, holding.id));
  });
}

function rejectLateForwards(state: ActsState, now: Instant): ActsEffect[] {
  const late = [...state.forwards.values()].filter(({ submit }) => submit.deadline <= now);
  return late.map(({ submit, actId }) => {
    state.forwards.delete(submit.requestId);
    return rejectLate(submit.requestId, actId);
  });
}

function rejectLate(requestId: string, actId: string): ActsEffect {
  const message = `the deadline passed while act "${actId}" was running`;
  return reject(requestId, "act-running", "unknown", message);
}

function expireHolding(state: ActsState, holding: Holding, now: Instant): void {
  const time = getHoldingTime(state, holding, now);
  for (const record of holding.acts.values()) {
    if (record.conclusion !== undefined && record.expiresAt <= time) {
      removeRecord(state, holding, record);
    }
  }
  const self = getSelfOrThrow(state);
  const isOwn = holding.id === getHoldingId(self.name, self.incarnation);
  const isEmpty = holding.acts.size === 0 && holding.queue.length === 0;
  const isOver = holding.lastExpiresAt <= time && holding.phase !== "handing-over";
  if (!isOwn && isEmpty && isOver && isGuarded(state, "act-expiry")) {
    state.holdings.delete(holding.id);
  }
}
