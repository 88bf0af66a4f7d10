import type { Instant } from "../kernel/index.js";
import { ActKey } from "./ActKey.js";
import { getHolderName, isListed, startForward } from "./forward.js";
import type { ActForwarded, ActPeer, ActsEffect } from "./messages.js";
import { answerRequest } from "./records.js";
import { reject, type ActsState, type Forward } from "./state.js";
import { handleSubmit, isHeldHere } from "./submit.js";

/** Answers a caller by the result of its forward, or tries the current holder of the table. */
export function handleForwarded(
  state: ActsState,
  message: ActForwarded,
  now: Instant,
): ActsEffect[] {
  const forward = state.forwards.get(message.requestId);
  if (forward === undefined) {
    return [];
  }
  const { requestId, result, peers } = message;
  switch (result.kind) {
    case "answered":
      state.forwards.delete(requestId);
      return [answerRequest(requestId, forward.actId, result.record)];
    case "rejected":
      state.forwards.delete(requestId);
      return [{ kind: "reject", requestId, error: result.error }];
    case "moved":
      return forwardAgain(state, forward, peers, now, result.to);
    case "lost":
      return forwardAgain(state, forward, peers, now);
  }
}

function forwardAgain(
  state: ActsState,
  forward: Forward,
  peers: readonly ActPeer[],
  now: Instant,
  successor?: string,
): ActsEffect[] {
  const { submit, actId } = forward;
  const key = ActKey.parse(forward.key).unwrapOrElse(() => throwUnreadableKey(actId));
  if (isHeldHere(state, key)) {
    state.forwards.delete(submit.requestId);
    return handleSubmit(state, { ...submit, key: forward.key, peers }, now);
  }
  const to = successor ?? getHolderName(state, key, peers);
  const isForwardAllowed = forward.count < state.limits.maxForwards && submit.deadline > now;
  if (to !== undefined && isForwardAllowed && isListed(state, to, peers)) {
    return [startForward(forward, key, to)];
  }
  state.forwards.delete(submit.requestId);
  const message = `no answer from the daemon that holds act "${actId}"`;
  return [reject(submit.requestId, "act-issuer-lost", "unknown", message)];
}

function throwUnreadableKey(actId: string): never {
  throw new TypeError(`the key of the forwarded act "${actId}" cannot be read`);
}
