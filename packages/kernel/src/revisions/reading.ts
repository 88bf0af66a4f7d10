import type { Instant } from "../kernel/index.js";
import { getHash } from "../membership/hash.js";
import type { RevisionsEffect } from "./messages.js";
import { isGuarded, type RevisionsState } from "./state.js";

const readersPerZone = 2;
const readWaitMilliseconds = 10_000;
const readGraceMilliseconds = 2000;
const readPauseMilliseconds = 100;
const readBackOffMilliseconds = 2000;
const maxReadBackOffMilliseconds = 30_000;

/** Reads the platform when this daemon is one of its zone's readers and no read is under way. */
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

/** Notes that the platform answered. */
export function handleReadAnswered(state: RevisionsState, now: Instant): void {
  const { reading } = state;
  reading.deadline = undefined;
  reading.failures = 0;
  reading.nextAt = now + readPauseMilliseconds;
}

/** Notes that the platform did not answer; each failure doubles the pause. */
export function handleReadFailed(state: RevisionsState, now: Instant): void {
  const { reading } = state;
  reading.deadline = undefined;
  reading.failures += 1;
  const backOff = readBackOffMilliseconds * 2 ** (reading.failures - 1);
  reading.nextAt = now + Math.min(backOff, maxReadBackOffMilliseconds);
}

/**
 * Tells whether the daemon is one of the readers of its zone: the first live ones in rendezvous
 * order, those that cannot read after all others.
 * @param state - State of the plug-in.
 * @param now - Time of the question.
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
  return readers.includes(own) || !isGuarded(state, "revision-readers");
}

interface ReaderCandidate {
  readonly name: string;
  readonly isReadFailing: boolean;
}

function getRank(state: RevisionsState, candidate: ReaderCandidate): number {
  const hash = getHash(`${state.zone} ${candidate.name}`);
  return candidate.isReadFailing ? hash + 2 ** 32 : hash;
}
