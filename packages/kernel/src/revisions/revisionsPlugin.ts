import {
  getConfigurationDigest,
  parseConfiguration,
  type Configuration,
} from "../configuration/index.js";
import { pluginRegistry, type Instant, type Plugin } from "../kernel/index.js";
import {
  recordConfirmation,
  fetchNewest,
  handleAnnouncement,
  handleFetchFailed,
} from "./fetching.js";
import { evaluateValue, settle } from "./evaluation.js";
import type {
  RevisionPublished,
  RevisionsEffect,
  RevisionsMessage,
  RevisionsStart,
} from "./messages.js";
import { handleReadAnswered, handleReadFailed, readPlatform } from "./reading.js";
import { RevisionsStartError } from "./RevisionsStartError.js";
import type { Revision } from "./schema.js";
import {
  createRevisionsState,
  isGuardEnabled,
  type RefusedValue,
  type RevisionsState,
} from "./state.js";

const settleMilliseconds = 2000;

/** Decides which published configuration is in force; only a newer one replaces it. */
export const revisionsPlugin: Plugin<RevisionsState, RevisionsMessage, RevisionsEffect> =
  pluginRegistry.addPlugin({
    name: "revisions",
    createState: createRevisionsState,
    handle: (state: RevisionsState, message: RevisionsMessage, now: Instant) => ({
      state,
      effects: handleMessage(state, message, now),
    }),
  });

/** The configuration in force. */
export interface ConfigurationInForce {
  readonly configuration: Configuration;
  readonly revision: Revision;
  /** Instant of the last confirmation by the platform that this daemon knows of. */
  readonly confirmedAt?: Instant;
}

/**
 * Gets the configuration in force; `undefined` until the settling period has ended.
 * @param state - State of the plug-in.
 */
export function getInForce(state: RevisionsState): ConfigurationInForce | undefined {
  if (state.newest === undefined || state.settleUntil !== undefined) {
    return undefined;
  }
  const { configuration, revision } = state.newest;
  return { configuration, revision, confirmedAt: state.confirmedAt };
}

/**
 * Gets the newest refused value, unless a newer one was accepted.
 * @param state - State of the plug-in.
 */
export function getRefused(state: RevisionsState): RefusedValue | undefined {
  return state.refused;
}

/**
 * Gets the text of a value for a peer that fetches it.
 * @param state - State of the plug-in.
 * @param wanted - Revision and digest that were announced to the peer.
 */
export function getPublishedText(state: RevisionsState, wanted: Revision): string | undefined {
  return [state.newest, state.refused].find(
    (value) =>
      value?.revision.revision === wanted.revision && value.revision.digest === wanted.digest,
  )?.text;
}

function handleMessage(
  state: RevisionsState,
  message: RevisionsMessage,
  now: Instant,
): RevisionsEffect[] {
  if (state.isStarted === (message.kind === "start")) {
    throw new RevisionsStartError(message.kind);
  }
  const effects = dispatchMessage(state, message, now);
  return [
    ...effects,
    ...fetchNewest(state, now),
    ...settle(state, now),
    ...readPlatform(state, now),
  ];
}

function dispatchMessage(
  state: RevisionsState,
  message: RevisionsMessage,
  now: Instant,
): RevisionsEffect[] {
  switch (message.kind) {
    case "start":
      start(state, message, now);
      return [];
    case "peers":
      state.awaitedPeers = new Set(message.names.filter((name) => !state.peers.has(name)));
      return [];
    case "published":
      return handlePublished(state, message, now);
    case "unchanged":
      handleReadAnswered(state, now);
      confirmIfUnchanged(state, now);
      return [];
    case "readFailed":
      handleReadFailed(state, now);
      return [];
    case "fetchFailed":
      handleFetchFailed(state, message, now);
      return [];
    case "announcement":
      handleAnnouncement(state, message, now);
      return [];
    case "tick":
      return [];
  }
}

function start(state: RevisionsState, message: RevisionsStart, now: Instant): void {
  state.isStarted = true;
  state.daemon = message.daemon;
  state.zone = message.zone;
  state.parse = message.parse ?? parseConfiguration;
  state.disabledGuards = new Set(message.disabledGuards);
  state.awaitedPeers = message.peers && new Set(message.peers);
  state.settleUntil = now + settleMilliseconds;
}

function handlePublished(
  state: RevisionsState,
  message: RevisionPublished,
  now: Instant,
): RevisionsEffect[] {
  if (message.source.kind === "peer") {
    return handleFetched(state, message, message.source.name, now);
  }
  handleReadAnswered(state, now);
  const { revision, text } = message;
  state.reading.last = { revision, digest: getConfigurationDigest(text) };
  const effects = evaluateValue(state, message);
  confirmIfUnchanged(state, now);
  return effects;
}

function confirmIfUnchanged(state: RevisionsState, now: Instant): void {
  const { last } = state.reading;
  const newest = state.newest?.revision;
  if (last !== undefined && last.revision === newest?.revision && last.digest === newest.digest) {
    recordConfirmation(state, now, now);
  }
}

function handleFetched(
  state: RevisionsState,
  message: RevisionPublished,
  from: string,
  now: Instant,
): RevisionsEffect[] {
  const wanted = state.fetch?.from === from ? state.fetch.revision : undefined;
  const isWanted =
    wanted?.revision === message.revision && wanted.digest === getConfigurationDigest(message.text);
  if (!isWanted && isGuardEnabled(state, "revision-digest")) {
    handleFetchFailed(state, { kind: "fetchFailed", from }, now);
    return [];
  }
  state.fetch = undefined;
  return evaluateValue(state, message, wanted);
}
