import type { Instant } from "../kernel/index.js";
import { ActKey } from "./ActKey.js";
import type { ActForwarded, ActPeer, ActsEffect, ActSubmit } from "./messages.js";
import { answerRequest } from "./records.js";
import {
  getSelfOrThrow,
  isGuarded,
  reject,
  type ActsState,
  type Forward,
  type Holding,
} from "./state.js";

/**
 * Forwards an act to the daemon that holds its issuer's table.
 * @param holding - This daemon's former holding of that table, if it had one.
 */
export function forwardSubmit(
  state: ActsState,
  key: ActKey,
  submit: ActSubmit,
  holding: Holding | undefined,
): ActsEffect {
  const { requestId, peers } = submit;
  const successor = holding?.phase === "moved" ? holding.successor?.name : undefined;
  if (submit.forwardedBy !== undefined && isGuarded(state, "act-single-forward")) {
    return successor === undefined
      ? rejectGone(requestId, key)
      : { kind: "moved", requestId, to: successor };
  }
  const to = successor ?? getHolderName(state, key, peers);
  if (to === undefined) {
    return rejectGone(requestId, key);
  }
  if (!isListed(state, to, peers)) {
    const message = `daemon "${to}", which holds act "${key.actId}", is not on the host list`;
    return reject(requestId, "act-issuer-unlisted", "unknown", message);
  }
  const forward: Forward = { submit, actId: key.actId, key: key.text, count: 0 };
  state.forwards.set(requestId, forward);
  return addForward(forward, key, to);
}

/** Answers a caller by the result of its forward, or forwards once more to a single daemon. */
export function handleForwarded(
  state: ActsState,
  message: ActForwarded,
  now: Instant,
): ActsEffect[] {
  const forward = state.forwards.get(message.requestId);
  if (forward === undefined) {
    return [];
  }
  const key = ActKey.parse(forward.key).unwrapOrElse(throwUnreadableKey);
  const { requestId, result, peers } = message;
  switch (result.kind) {
    case "answered":
      state.forwards.delete(requestId);
      return [answerRequest(requestId, key.actId, result.record)];
    case "rejected":
      state.forwards.delete(requestId);
      return [{ kind: "reject", requestId, error: result.error }];
    case "moved":
      return [forwardAgain(state, forward, key, result.to, peers, now)];
    case "lost":
      return [forwardAgain(state, forward, key, getHolderName(state, key, peers), peers, now)];
  }
}

function getHolderName(
  state: ActsState,
  key: ActKey,
  peers: readonly ActPeer[],
): string | undefined {
  const holder = peers.find((peer) => isHolder(peer, key));
  if (holder !== undefined) {
    return holder.name;
  }
  return key.issuer === getSelfOrThrow(state).name ? undefined : key.issuer;
}

function isHolder(peer: ActPeer, key: ActKey): boolean {
  const holdings = peer.holdings ?? [];
  return holdings.some(
    ({ name, incarnation }) => name === key.issuer && incarnation === key.incarnation,
  );
}

function isListed(state: ActsState, name: string, peers: readonly ActPeer[]): boolean {
  return !isGuarded(state, "act-issuer-listed") || peers.some((peer) => peer.name === name);
}

function forwardAgain(
  state: ActsState,
  forward: Forward,
  key: ActKey,
  to: string | undefined,
  peers: readonly ActPeer[],
  now: Instant,
): ActsEffect {
  const { requestId, deadline } = forward.submit;
  const isAllowed = forward.count < state.limits.maxForwards && deadline > now;
  if (to !== undefined && isAllowed && isListed(state, to, peers)) {
    return addForward(forward, key, to);
  }
  state.forwards.delete(requestId);
  const message = `no answer from the daemon that holds act "${key.actId}"`;
  return reject(requestId, "act-issuer-lost", "unknown", message);
}

function addForward(forward: Forward, key: ActKey, to: string): ActsEffect {
  forward.count += 1;
  const { requestId } = forward.submit;
  return { kind: "forward", requestId, actId: key.actId, key: key.text, to };
}

function rejectGone(requestId: string, key: ActKey): ActsEffect {
  const message = `incarnation "${key.incarnation}" of daemon "${key.issuer}" is gone`;
  return reject(requestId, "act-issuer-gone", "unknown", message);
}

function throwUnreadableKey(): never {
  throw new TypeError("a forwarded act has an unreadable key");
}
