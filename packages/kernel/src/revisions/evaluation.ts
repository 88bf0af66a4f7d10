import { getConfigurationDigest, type Configuration } from "../configuration/index.js";
import type { ConfigurationError } from "../errors/index.js";
import type { Instant } from "../kernel/index.js";
import type { RevisionPublished, RevisionsEffect, RevisionSource } from "./messages.js";
import type { Revision } from "./schema.js";
import {
  compareRevisions,
  getRevisionAnnouncement,
  isGuardEnabled,
  type AcceptedValue,
  type RevisionsState,
} from "./state.js";

/** Time by which a fetch in progress can extend the settling period. */
const settleFetchMilliseconds = 3000;

/**
 * Parses a published value and keeps it if it is the newest, whether accepted or refused.
 * @param state - State to update.
 * @param message - Published value.
 * @param announced - Revision under which a peer announced it; absent when the platform gave it.
 */
export function evaluateValue(
  state: RevisionsState,
  message: RevisionPublished,
  announced?: Revision,
): RevisionsEffect[] {
  const digest = getConfigurationDigest(message.text);
  if (isKnown(state, message.revision, digest)) {
    return [];
  }
  return state.parse(message.text).match({
    Ok: (configuration) => keepAccepted(state, message, digest, configuration),
    Err: (error) => keepRefused(state, message, digest, error, announced),
  });
}

/**
 * Puts the newest value into force at the end of the settling period after a start.
 *
 * The period ends when every peer has sent its announcement and no fetch is in progress, or when
 * its time is up. Without it a restarted daemon could put an older value of a stale platform into
 * force before it receives the newer one from its peers.
 */
export function settle(state: RevisionsState, now: Instant): RevisionsEffect[] {
  if (state.settleUntil === undefined) {
    return [];
  }
  const isAwaitingPeers = state.awaitedPeers?.size !== 0 && now < state.settleUntil;
  const isFetching = state.fetch !== undefined && now < state.settleUntil + settleFetchMilliseconds;
  if ((isAwaitingPeers || isFetching) && isGuardEnabled(state, "revision-settle")) {
    return [];
  }
  state.settleUntil = undefined;
  return state.newest === undefined ? [] : [createInForce(state.newest)];
}

function isKnown(state: RevisionsState, revision: number, digest: string): boolean {
  return [state.newest?.revision, state.refused?.revision].some(
    (known) => known?.revision === revision && known.digest === digest,
  );
}

function keepAccepted(
  state: RevisionsState,
  message: RevisionPublished,
  digest: string,
  configuration: Configuration,
): RevisionsEffect[] {
  const { text, source } = message;
  const revision = { generation: configuration.generation, revision: message.revision, digest };
  const value: AcceptedValue = { revision, text, configuration, source };
  const inForce = state.newest?.revision;
  if (inForce === undefined) {
    return keepNewest(state, value);
  }
  if (isConflict(revision, inForce)) {
    return keepConflicting(state, value, inForce);
  }
  const isNewer = compareRevisions(revision, inForce) > 0;
  return isNewer || !isGuardEnabled(state, "revision-order")
    ? keepNewest(state, value)
    : [{ kind: "stale", revision, inForce, source }];
}

function isConflict(a: Revision, b: Revision): boolean {
  return a.generation === b.generation && a.revision === b.revision;
}

function keepConflicting(
  state: RevisionsState,
  value: AcceptedValue,
  inForce: Revision,
): RevisionsEffect[] {
  const isChosen = isGuardEnabled(state, "revision-conflict")
    ? compareRevisions(value.revision, inForce) > 0
    : false;
  return isChosen
    ? [
        { kind: "conflict", inForce: value.revision, discarded: inForce },
        ...keepNewest(state, value),
      ]
    : [{ kind: "conflict", inForce, discarded: value.revision }];
}

function keepNewest(state: RevisionsState, value: AcceptedValue): RevisionsEffect[] {
  state.newest = value;
  state.confirmedAt = undefined;
  if (state.refused && compareRevisions(state.refused.revision, value.revision) < 0) {
    state.refused = undefined;
  }
  const effects: RevisionsEffect[] = state.settleUntil === undefined ? [createInForce(value)] : [];
  return [...effects, { kind: "announce", announcement: getRevisionAnnouncement(state) }];
}

function keepRefused(
  state: RevisionsState,
  message: RevisionPublished,
  digest: string,
  error: ConfigurationError,
  announced: Revision | undefined,
): RevisionsEffect[] {
  const { text, source } = message;
  const generation = announced?.generation ?? state.newest?.revision.generation ?? 1;
  const revision = { generation, revision: message.revision, digest };
  const report: RevisionsEffect = { kind: "refused", revision, error, source };
  if (!isNewerRefusal(state, revision)) {
    return isFromPlatform(source) ? [report] : [];
  }
  state.refused = { revision, text, error };
  return [report, { kind: "announce", announcement: getRevisionAnnouncement(state) }];
}

/** Checks whether a refused value is newer than the newest accepted and the last refused one. */
export function isNewerRefusal(state: RevisionsState, revision: Revision): boolean {
  return [state.refused?.revision, state.newest?.revision].every(
    (known) => known === undefined || compareRevisions(revision, known) > 0,
  );
}

function isFromPlatform(source: RevisionSource): boolean {
  return source.kind === "platform";
}

function createInForce({ configuration, revision, source }: AcceptedValue): RevisionsEffect {
  return { kind: "inForce", configuration, revision, source };
}
