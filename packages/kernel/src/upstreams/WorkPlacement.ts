import type { RequestWork } from "../work/index.js";
import {
  cheapTokens,
  comparedHolders,
  comparedInOrder,
  laterFactor,
  laterGoalRatio,
  transferMilliseconds,
} from "./constants.js";
import type { PrefixLookupState } from "./findPrefixHolder.js";
import { getSourceRank } from "./getSourceRank.js";
import type { SourceRank } from "./PrefixDirectory.js";
import type { UpstreamEntry } from "./UpstreamEntry.js";

/** What is known of the work of a request where it is placed by that. */
export interface WorkPlacement {
  /** Whether an engine holds all shared blocks of the prompt and can be fetched from. */
  readonly isPrefixHeld: boolean;
  /** Whether reading them again costs less than waiting for an engine that has them. */
  readonly isCheapToRead: boolean;
  /** Whether an engine reads them for another request. */
  readonly isBeingRead: boolean;
  /** Checks whether an engine reads the shared blocks for another request. */
  readonly isReading: (entry: UpstreamEntry) => boolean;
  /** Checks whether an engine holds all shared blocks. */
  readonly isHolder: (entry: UpstreamEntry) => boolean;
  /** Gets the time from the sending of the request until its first byte; undefined when it is not known. */
  readonly getExpectedMilliseconds: (entry: UpstreamEntry) => number | undefined;
  /** Latency objective of the route. */
  readonly goalMilliseconds: number;
}

/** A request whose work is placed. */
export interface WorkToPlace {
  readonly service: string;
  /** Hashes of the ids of the prompt blocks that other requests share, in order. */
  readonly sharedBlocks: readonly number[];
  /** Tokens of the shared blocks together. */
  readonly sharedTokens: number;
  /** Tokens of the whole prompt. */
  readonly promptTokens: number;
  /** Tokens that the answer has at most. */
  readonly outputTokens: number;
  readonly goalMilliseconds: number;
  /** Monotonic time in milliseconds. */
  readonly now: number;
}

/** Estimates the time from the sending of a request until its first byte, as `WorkEstimator` does. */
export type WorkEstimate = (
  entry: UpstreamEntry,
  work: RequestWork,
  now: number,
) => number | undefined;

/**
 * Creates the placement of a request by its work.
 * @param state - State of the daemon.
 * @param request - The request.
 * @param estimate - Estimates the time that its work takes at an engine.
 */
export function createWorkPlacement(
  { upstreams, prefixes }: PrefixLookupState,
  request: WorkToPlace,
  estimate: WorkEstimate,
): WorkPlacement {
  const { service, sharedBlocks, sharedTokens, promptTokens, outputTokens } = request;
  const { goalMilliseconds, now } = request;
  const last = sharedBlocks.at(-1) ?? 0;
  const isHolder = (entry: UpstreamEntry): boolean => prefixes.isHeldBy(last, entry, now);
  const getRank: SourceRank = (entry) =>
    upstreams.getEntry(entry.record.id) === entry
      ? getSourceRank(entry, { service, softwareVersion: entry.record.softwareVersion }, now)
      : undefined;
  const holder = prefixes.getBestHolder(last, getRank, now);
  const getExpectedMilliseconds = (entry: UpstreamEntry): number | undefined => {
    const isHeld = isHolder(entry);
    const isFetched = !isHeld && holder?.record.softwareVersion === entry.record.softwareVersion;
    const unreadTokens = isHeld || isFetched ? promptTokens - sharedTokens : promptTokens;
    const work = { promptTokens, unreadTokens: Math.max(0, unreadTokens), outputTokens };
    const milliseconds = estimate(entry, work, now);
    return milliseconds === undefined || !isFetched
      ? milliseconds
      : milliseconds + transferMilliseconds;
  };
  return {
    isPrefixHeld: holder !== undefined,
    isCheapToRead: sharedTokens <= cheapTokens,
    isBeingRead: prefixes.isRead(last),
    isReading: (entry) => prefixes.isReadBy(last, entry),
    isHolder,
    getExpectedMilliseconds,
    goalMilliseconds,
  };
}

/**
 * Gets an upstream that is expected to answer much sooner than the first one below the load limit. It is the first of
 * those compared that is good enough rather than the best, since daemons that all take the best one by reports of
 * different age overload it.
 * @param ordered - Candidates in the rendezvous order of the key.
 * @param first - First one below the load limit.
 * @param isBelowLimit - Checks whether a candidate is below the load limit.
 * @param placement - What is known of the request's work.
 */
export function findSooner(
  ordered: readonly UpstreamEntry[],
  first: UpstreamEntry,
  isBelowLimit: (entry: UpstreamEntry) => boolean,
  { isHolder, getExpectedMilliseconds, goalMilliseconds }: WorkPlacement,
): UpstreamEntry | undefined {
  const firstTime = getExpectedMilliseconds(first);
  const margin = goalMilliseconds * laterGoalRatio;
  if (firstTime === undefined || firstTime <= margin) {
    return undefined;
  }
  const times: (readonly [UpstreamEntry, number])[] = [[first, firstTime]];
  let inOrder = 1;
  let holders = 0;
  for (const entry of ordered) {
    const isNext = inOrder < comparedInOrder;
    const isCompared = isNext || (holders < comparedHolders && isHolder(entry));
    if (entry !== first && isCompared && isBelowLimit(entry)) {
      inOrder += isNext ? 1 : 0;
      holders += isNext ? 0 : 1;
      const time = getExpectedMilliseconds(entry);
      if (time !== undefined) {
        times.push([entry, time]);
      }
    }
  }
  const best = Math.min(...times.map(([, time]) => time));
  const isGoodEnough = (time: number): boolean =>
    time <= best * laterFactor || time <= best + margin;
  const [chosen] = times.find(([, time]) => isGoodEnough(time)) ?? [first];
  return chosen === first ? undefined : chosen;
}
