import type { ActKey } from "./ActKey.js";
import type { ActPeer, ActsEffect, ActSubmit } from "./messages.js";
import {
  getSelfOrThrow,
  isGuardEnabled,
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
  if (submit.forwardedBy !== undefined && isGuardEnabled(state, "act-single-forward")) {
    return successor === undefined
      ? rejectIssuerGone(requestId, key)
      : { kind: "moved", requestId, to: successor };
  }
  const to = successor ?? getHolderName(state, key, peers);
  if (to === undefined) {
    return rejectIssuerGone(requestId, key);
  }
  if (!isListed(state, to, peers)) {
    const message = `daemon "${to}", which holds act "${key.actId}", is not on the host list`;
    return reject(requestId, "act-issuer-unlisted", "unknown", message);
  }
  const forward: Forward = { submit, actId: key.actId, key: key.text, count: 0 };
  state.forwards.set(requestId, forward);
  return startForward(forward, key, to);
}

/**
 * Gets the name of the daemon that holds the table of a key's issuer: the peer that announces it,
 * or else the issuer. Undefined when the issuer is this daemon, which does not hold the table.
 */
export function getHolderName(
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

/** Checks whether a daemon is on the host list. Acts are forwarded only to listed daemons. */
export function isListed(state: ActsState, name: string, peers: readonly ActPeer[]): boolean {
  return !isGuardEnabled(state, "act-issuer-listed") || peers.some((peer) => peer.name === name);
}

/** Counts a forward of a request and creates its effect. */
export function startForward(forward: Forward, key: ActKey, to: string): ActsEffect {
  forward.count += 1;
  const { requestId } = forward.submit;
  return { kind: "forward", requestId, actId: key.actId, key: key.text, to };
}

function rejectIssuerGone(requestId: string, key: ActKey): ActsEffect {
  const message = `incarnation "${key.incarnation}" of daemon "${key.issuer}" is gone`;
  return reject(requestId, "act-issuer-gone", "unknown", message);
}
