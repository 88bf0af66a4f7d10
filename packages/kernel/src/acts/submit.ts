import type { Instant } from "../kernel/index.js";
import { ActKey } from "./ActKey.js";
import { forwardSubmit } from "./forward.js";
import type { ActKeyRequest, ActsEffect, ActSubmit } from "./messages.js";
import { answerRequest, getReservedBytes, startAttempt } from "./records.js";
import {
  getExpiryCheckTime,
  getHoldingId,
  getSelfOrThrow,
  isGuardEnabled,
  reject,
  type ActRecord,
  type ActsState,
  type Holding,
} from "./state.js";

/** Issues a key. A key needs no memory until it is used. */
export function handleKeyRequest(state: ActsState, message: ActKeyRequest): ActsEffect[] {
  const key = issueKey(state, message.expiresAt);
  if (key === undefined) {
    return [rejectKeyRequest(message.requestId)];
  }
  const { requestId, expiresAt } = message;
  return [{ kind: "minted", requestId, key: key.text, expiresAt }];
}

/** Runs, answers, queues, forwards or rejects an act. */
export function handleSubmit(state: ActsState, submit: ActSubmit, now: Instant): ActsEffect[] {
  if (submit.key === undefined) {
    const issued = issueKey(state, submit.expiresAt);
    return issued === undefined
      ? [rejectKeyRequest(submit.requestId)]
      : submitKey(state, issued, submit, now);
  }
  return ActKey.parse(submit.key).match({
    Just: (key) => submitKey(state, key, submit, now),
    Nothing: () => [
      reject(submit.requestId, "act-key-foreign", "not-run", "the key was not minted by the fleet"),
    ],
  });
}

/** Checks whether this daemon holds the table of a key's issuer, including during its hand-over. */
export function isHeldHere(state: ActsState, key: ActKey): boolean {
  const phase = getHolding(state, key)?.phase;
  return phase === "held" || phase === "closing" || phase === "handing-over";
}

function issueKey(state: ActsState, expiresAt: Instant): ActKey | undefined {
  const self = getSelfOrThrow(state);
  const holding = state.holdings.get(getHoldingId(self.name, self.incarnation));
  if (holding === undefined || (holding.phase !== "held" && holding.phase !== "closing")) {
    return undefined;
  }
  const sequence = state.nextSequence;
  state.nextSequence += 1;
  holding.lastExpiresAt = Math.max(holding.lastExpiresAt, expiresAt);
  return ActKey.create(self.name, self.incarnation, sequence, expiresAt, holding.secret);
}

function rejectKeyRequest(requestId: string): ActsEffect {
  const message = "this daemon is stopping and mints no keys";
  return reject(requestId, "act-hand-over", "not-run", message);
}

function submitKey(state: ActsState, key: ActKey, submit: ActSubmit, now: Instant): ActsEffect[] {
  const holding = getHolding(state, key);
  return holding !== undefined && isHeldHere(state, key)
    ? [submitToHolding(state, holding, key, submit, now)]
    : [forwardSubmit(state, key, submit, holding)];
}

function getHolding(state: ActsState, key: ActKey): Holding | undefined {
  const self = getSelfOrThrow(state);
  const isOwnName = key.issuer === self.name;
  const incarnation =
    isOwnName && !isGuardEnabled(state, "act-incarnation") ? self.incarnation : key.incarnation;
  return state.holdings.get(getHoldingId(key.issuer, incarnation));
}

function submitToHolding(
  state: ActsState,
  holding: Holding,
  key: ActKey,
  submit: ActSubmit,
  now: Instant,
): ActsEffect {
  const { requestId } = submit;
  if (isGuardEnabled(state, "act-authenticity") && !key.isAuthentic(holding.secret)) {
    const message = `the key of act "${key.actId}" is forged`;
    return reject(requestId, "act-key-forged", "not-run", message);
  }
  const time = getExpiryCheckTime(state, holding, now);
  if (isGuardEnabled(state, "act-expiry") && key.expiresAt <= time) {
    const message = `the key of act "${key.actId}" has expired`;
    return reject(requestId, "act-key-expired", "unknown", message);
  }
  if (holding.phase === "handing-over") {
    return queueSubmit(holding, key, submit);
  }
  const record = holding.acts.get(key.sequence);
  return record === undefined
    ? submitFirst(state, holding, key, submit, now)
    : submitRepeat(state, record, submit);
}

function queueSubmit(holding: Holding, key: ActKey, submit: ActSubmit): ActsEffect {
  holding.queue.push({ ...submit, key: key.text });
  return { kind: "wait", requestId: submit.requestId, actId: key.actId };
}

function submitFirst(
  state: ActsState,
  holding: Holding,
  key: ActKey,
  submit: ActSubmit,
  now: Instant,
): ActsEffect {
  if (holding.phase === "closing") {
    return queueSubmit(holding, key, submit);
  }
  // A key that the caller already has can be submitted again, so that its act may still run later.
  const outcome = submit.key === undefined ? "not-run" : "unknown";
  if (submit.deadline <= now) {
    const message = `the deadline of act "${key.actId}" has passed`;
    return reject(submit.requestId, "act-deadline-passed", outcome, message);
  }
  if (isGuardEnabled(state, "act-table-bound") && isFull(state)) {
    const message = `the act table is full with ${String(state.actCount)} acts`;
    return reject(submit.requestId, "act-table-full", outcome, message);
  }
  return startAttempt(addRecord(state, holding, key, submit), submit.requestId);
}

function isFull(state: ActsState): boolean {
  const { maxActs, maxBytes } = state.limits;
  return state.actCount >= maxActs || state.bytes + getReservedBytes() > maxBytes;
}

function addRecord(state: ActsState, holding: Holding, key: ActKey, submit: ActSubmit): ActRecord {
  const record: ActRecord = {
    actId: key.actId,
    holdingId: holding.id,
    key: key.text,
    service: submit.service,
    sequence: key.sequence,
    fingerprint: submit.fingerprint,
    expiresAt: key.expiresAt,
    attempts: 0,
    attemptId: "",
    bytes: getReservedBytes(),
    waiters: [{ requestId: submit.requestId, deadline: submit.deadline }],
  };
  holding.acts.set(key.sequence, record);
  state.running.set(record.actId, record);
  state.actCount += 1;
  state.bytes += record.bytes;
  return record;
}

function submitRepeat(state: ActsState, record: ActRecord, submit: ActSubmit): ActsEffect {
  const { requestId, fingerprint } = submit;
  if (isGuardEnabled(state, "act-fingerprint") && record.fingerprint !== fingerprint) {
    const message = `the key of act "${record.actId}" was used for another request`;
    return reject(requestId, "act-key-reused", "unknown", message);
  }
  const isRefused = record.conclusion?.state === "refused";
  if (isRefused && !isGuardEnabled(state, "act-refused-final")) {
    record.conclusion = undefined;
    state.running.set(record.actId, record);
    return sendAgain(record, submit);
  }
  if (record.conclusion !== undefined) {
    return answerRequest(requestId, record.actId, record.conclusion);
  }
  if (!isGuardEnabled(state, "act-single-send")) {
    return sendAgain(record, submit);
  }
  record.waiters.push({ requestId, deadline: submit.deadline });
  return { kind: "wait", requestId, actId: record.actId };
}

function sendAgain(record: ActRecord, submit: ActSubmit): ActsEffect {
  record.waiters.push({ requestId: submit.requestId, deadline: submit.deadline });
  return startAttempt(record, submit.requestId);
}
