import type { Instant } from "../kernel/index.js";
import type { ActsEffect, ActWithdraw } from "./messages.js";
import {
  getExpiryCheckTime,
  getHoldingId,
  getSelfOrThrow,
  isGuardEnabled,
  reject,
  removeRecord,
  type ActsState,
  type Holding,
} from "./state.js";

/** Rejects requests whose deadline has passed and removes records whose keys have expired. */
export function handleTick(state: ActsState, now: Instant): ActsEffect[] {
  const effects = [
    ...rejectExpiredWaiters(state, now),
    ...rejectExpiredQueue(state, now),
    ...rejectExpiredForwards(state, now),
  ];
  for (const holding of state.holdings.values()) {
    expireHolding(state, holding, now);
  }
  return effects;
}

/** Removes a request whose caller has disconnected. */
export function handleWithdraw(state: ActsState, message: ActWithdraw): ActsEffect[] {
  const isOtherRequest = (entry: { readonly requestId: string }): boolean =>
    entry.requestId !== message.requestId;
  for (const record of state.running.values()) {
    record.waiters = record.waiters.filter(isOtherRequest);
  }
  for (const holding of state.holdings.values()) {
    holding.queue = holding.queue.filter(isOtherRequest);
  }
  state.forwards.delete(message.requestId);
  return [];
}

function rejectExpiredWaiters(state: ActsState, now: Instant): ActsEffect[] {
  return [...state.running.values()].flatMap((record) => {
    const expired = record.waiters.filter(({ deadline }) => deadline <= now);
    record.waiters = record.waiters.filter(({ deadline }) => deadline > now);
    return expired.map(({ requestId }) => rejectExpired(requestId, record.actId));
  });
}

function rejectExpiredQueue(state: ActsState, now: Instant): ActsEffect[] {
  return [...state.holdings.values()].flatMap((holding) => {
    const expired = holding.queue.filter(({ deadline }) => deadline <= now);
    holding.queue = holding.queue.filter(({ deadline }) => deadline > now);
    return expired.map(({ requestId }) => rejectExpired(requestId, holding.id));
  });
}

function rejectExpiredForwards(state: ActsState, now: Instant): ActsEffect[] {
  const expired = [...state.forwards.values()].filter(({ submit }) => submit.deadline <= now);
  return expired.map(({ submit, actId }) => {
    state.forwards.delete(submit.requestId);
    return rejectExpired(submit.requestId, actId);
  });
}

function rejectExpired(requestId: string, actId: string): ActsEffect {
  const message = `the deadline passed while act "${actId}" was running`;
  return reject(requestId, "act-running", "unknown", message);
}

function expireHolding(state: ActsState, holding: Holding, now: Instant): void {
  const time = getExpiryCheckTime(state, holding, now);
  for (const record of holding.acts.values()) {
    if (record.conclusion !== undefined && record.expiresAt <= time) {
      removeRecord(state, holding, record);
    }
  }
  const self = getSelfOrThrow(state);
  const isOwn = holding.id === getHoldingId(self.name, self.incarnation);
  const isEmpty = holding.acts.size === 0 && holding.queue.length === 0;
  const isObsolete = holding.lastExpiresAt <= time && holding.phase !== "handing-over";
  if (!isOwn && isEmpty && isObsolete && isGuardEnabled(state, "act-expiry")) {
    state.holdings.delete(holding.id);
  }
}
