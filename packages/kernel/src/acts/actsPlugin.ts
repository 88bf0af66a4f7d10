/**
 * Runs acts at most once: only the incarnation that issued a key, or its single successor, sends
 * the act to a service.
 */
import { pluginRegistry, type Instant, type Plugin } from "../kernel/index.js";
import { ActsStartError } from "./ActsStartError.js";
import { handleAttempted } from "./attempt.js";
import { handleTick, handleWithdraw } from "./expiry.js";
import { handleForwarded } from "./forwarded.js";
import { handleAdopt, handleHandOver, handleTransferred } from "./handOver.js";
import type { ActsEffect, ActsMessage, ActsStart, DaemonIncarnation } from "./messages.js";
import { createActsState, createHolding, getHoldingId, type ActsState } from "./state.js";
import { handleKeyRequest, handleSubmit } from "./submit.js";

export const actsPlugin: Plugin<ActsState, ActsMessage, ActsEffect> = pluginRegistry.addPlugin({
  name: "acts",
  createState: createActsState,
  handle: (state: ActsState, message: ActsMessage, now: Instant) => ({
    state,
    effects: handleMessage(state, message, now),
  }),
});

/**
 * Gets the issuers of the adopted tables that this daemon holds. It announces them to its peers.
 * @param state - State of the plug-in.
 */
export function getAdoptedHoldings(state: ActsState): readonly DaemonIncarnation[] {
  const ownId = state.self && getHoldingId(state.self.name, state.self.incarnation);
  return [...state.holdings.values()]
    .filter(({ id, phase }) => id !== ownId && (phase === "held" || phase === "closing"))
    .map(({ issuer, incarnation }) => ({ name: issuer, incarnation }));
}

/** Counts of the plug-in's state, for status and metrics. */
export interface ActsSummary {
  readonly acts: number;
  readonly bytes: number;
  readonly running: number;
  readonly forwards: number;
}

/**
 * Gets the counts of the plug-in's state.
 * @param state - State of the plug-in.
 */
export function getActsSummary(state: ActsState): ActsSummary {
  return {
    acts: state.actCount,
    bytes: state.bytes,
    running: state.running.size,
    forwards: state.forwards.size,
  };
}

function handleMessage(state: ActsState, message: ActsMessage, now: Instant): ActsEffect[] {
  if ((state.self === undefined) !== (message.kind === "start")) {
    throw new ActsStartError(message.kind);
  }
  state.latestTime = Math.max(state.latestTime, now);
  switch (message.kind) {
    case "start":
      return start(state, message);
    case "mint":
      return handleKeyRequest(state, message);
    case "submit":
      return handleSubmit(state, message, now);
    case "attempted":
      return handleAttempted(state, message, now);
    case "forwarded":
      return handleForwarded(state, message, now);
    case "withdraw":
      return handleWithdraw(state, message);
    case "tick":
      return handleTick(state, now);
    case "hand-over":
      return handleHandOver(state, message);
    case "transferred":
      return handleTransferred(state, message, now);
    case "adopt":
      return handleAdopt(state, message);
  }
}

function start(state: ActsState, message: ActsStart): ActsEffect[] {
  const { daemon: name, incarnation, secret } = message;
  state.self = { name, incarnation };
  state.limits = { ...state.limits, ...message.limits };
  state.disabledGuards = new Set(message.disabledGuards);
  const holding = createHolding(state.self, secret, 0, 0);
  state.holdings.set(holding.id, holding);
  return [];
}
