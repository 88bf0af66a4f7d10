import type { Instant } from "../kernel/index.js";
import { getHash } from "../membership/hash.js";
import type { RevisionsEffect } from "./messages.js";
import { isGuardEnabled, type RevisionsState } from "./state.js";

const readersPerZone = 2;
const readWaitMilliseconds = 10_000;
/** Time after the end of a long poll in which its answer is still awaited. */
const readGraceMilliseconds = 2000;
const readPauseMilliseconds = 100;
const readBackOffMilliseconds = 2000;
const maxReadBackOffMilliseconds = 30_000;

/** Starts a read of the platform when one is due and this daemon is a reader of its zone. */
export function readPlatform(state: RevisionsState, now: Instant): RevisionsEffect[] {
  const { reading } = state;
  if (reading.deadline !== undefined && reading.deadline <= now) {
    handleReadFailed(state, now);
  }
  const isDue = reading.deadline === undefined && reading.nextAt <= now;
  if (!isDue || !isReader(state, now)) {
    return [];
  }
  const waitUntil = now + readWaitMilliseconds;
  reading.deadline = waitUntil + readGraceMilliseconds;
  return [{ kind: "read", after: reading.last?.revision, waitUntil }];
}

/** Handles an answer of the platform; the next read follows after a short pause. */
export function handleReadAnswered(state: RevisionsState, now: Instant): void {
  const { reading } = state;
  reading.deadline = undefined;
  reading.failures = 0;
  reading.nextAt = now + readPauseMilliseconds;
}

/** Handles a failed read; each consecutive failure doubles the pause before the next. */
export function handleReadFailed(state: RevisionsState, now: Instant): void {
  const { reading } = state;
  reading.deadline = undefined;
  reading.failures += 1;
  const backOff = readBackOffMilliseconds * 2 ** (reading.failures - 1);
  reading.nextAt = now + Math.min(backOff, maxReadBackOffMilliseconds);
}

/**
 * Checks whether the daemon is one of the readers of its zone.
 *
 * The readers are the first reachable daemons by rendezvous hash. Daemons whose reads fail come
 * after all others.
 * @param state - State of the plug-in.
 * @param now - Current time.
 */
export function isReader(state: RevisionsState, now: Instant): boolean {
  const own = { name: state.daemon, isReadFailing: state.reading.failures > 0 };
  const reachable = [...state.peers.values()]
    .filter(
      ({ announcement, reachableUntil }) =>
        announcement.zone === state.zone && reachableUntil > now,
    )
    .map(({ announcement }) => ({
      name: announcement.from,
      isReadFailing: announcement.isReadFailing,
    }));
  const readers = [own, ...reachable]
    .sort((a, b) => getRank(state, a) - getRank(state, b))
    .slice(0, readersPerZone);
  return readers.includes(own) || !isGuardEnabled(state, "revision-readers");
}

interface ReaderCandidate {
  readonly name: string;
  readonly isReadFailing: boolean;
}

/** Ranks candidates by their 32-bit hash; those whose reads fail come last. */
function getRank(state: RevisionsState, candidate: ReaderCandidate): number {
  const hash = getHash(`${state.zone} ${candidate.name}`);
  return candidate.isReadFailing ? hash + 2 ** 32 : hash;
}
