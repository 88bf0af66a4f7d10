import { findFirstByKey } from "./chooseUpstream.js";
import type { PrefixLookup, PrefixLookupState } from "./findPrefixHolder.js";
import { getSourceRank } from "./getSourceRank.js";
import type { PrefixDirectory, SourceRank } from "./PrefixDirectory.js";
import type { UpstreamEntry } from "./UpstreamEntry.js";

/**
 * Where the chosen engine gets the shared part of a prompt from:
 *
 * - `held`: it has it cached.
 * - `reading`: it is reading it for another request.
 * - `holder`: from an engine that holds all of it and is in service.
 * - `impaired`: from one that holds all of it, and that requests are kept away from.
 * - `pending`: from one that is reading it.
 * - `former`: from one that holds it if the rendezvous order was followed.
 * - `next`: from the one that comes next in the rendezvous order, where no daemon has told of any reader.
 * - `shorter`: a part of it from an engine that holds only that.
 * - `none`: the chosen engine reads it.
 */
export type PrefixSourceKind =
  "held" | "reading" | "holder" | "impaired" | "pending" | "former" | "next" | "shorter" | "none";

/** Source of the shared part of a prompt. */
export interface PrefixSource {
  readonly kind: PrefixSourceKind;
  /** Engine that the chosen one fetches from; undefined when it fetches from none. */
  readonly entry: UpstreamEntry | undefined;
}

/** A request whose prompt may be fetched in part. */
export interface SourceLookup extends PrefixLookup {
  /** Tokens of the shared blocks, in order. */
  readonly sharedBlockTokens: readonly number[];
}

/**
 * The next engine in the order is asked, at the cost of a shorter prefix that is known elsewhere, if it would have this
 * many times as many tokens more: it has them in about one of ten cases or more.
 */
const guessFactor = 10;

/**
 * Finds the source of the shared part of a prompt, in a service that is placed by work.
 * @param state - State of the daemon.
 * @param lookup - Request to find a source for.
 * @param chosen - Engine that will serve it.
 * @param preferred - First engine in the rendezvous order of the key, when another one was chosen.
 */
export function findPrefixSource(
  { upstreams, prefixes }: PrefixLookupState,
  lookup: SourceLookup,
  chosen: UpstreamEntry,
  preferred: UpstreamEntry | undefined,
): PrefixSource {
  const { sharedBlocks, now } = lookup;
  const last = sharedBlocks.at(-1);
  if (last === undefined) {
    return { kind: "none", entry: undefined };
  }
  if (prefixes.isHeldBy(last, chosen, now)) {
    return { kind: "held", entry: undefined };
  }
  const getRank: SourceRank = (entry) =>
    entry !== chosen && upstreams.getEntry(entry.record.id) === entry
      ? getSourceRank(entry, chosen.record, now)
      : undefined;
  const known = findKnownSource(prefixes, last, chosen, getRank, now);
  if (known !== undefined) {
    return known;
  }
  const entries = upstreams.getEntries();
  const former =
    preferred !== undefined && getRank(preferred) !== undefined
      ? preferred
      : guessFormerHolder(entries, lookup, chosen, getRank);
  if (former !== undefined) {
    return { kind: "former", entry: former };
  }
  const next =
    sharedBlocks.length < 2 || prefixes.isKnown(last)
      ? undefined
      : findNext(entries, lookup, chosen, getRank);
  return chooseNextOrShorter(prefixes, lookup, chosen, next, getRank);
}

/** Finds an engine that holds or reads all shared blocks; undefined when none is known. */
function findKnownSource(
  prefixes: PrefixDirectory,
  lastBlock: number,
  chosen: UpstreamEntry,
  getRank: SourceRank,
  now: number,
): PrefixSource | undefined {
  const holder = prefixes.getBestHolder(lastBlock, getRank, now);
  if (holder !== undefined) {
    return { kind: getRank(holder) === 0 ? "holder" : "impaired", entry: holder };
  }
  if (prefixes.isReadBy(lastBlock, chosen)) {
    return { kind: "reading", entry: undefined };
  }
  const reader = prefixes.getBestReader(lastBlock, getRank);
  return reader && { kind: "pending", entry: reader };
}

/** Chooses between asking the next engine in the order and a known holder of a shorter prefix, where no other is known. */
function chooseNextOrShorter(
  prefixes: PrefixDirectory,
  lookup: SourceLookup,
  chosen: UpstreamEntry,
  next: UpstreamEntry | undefined,
  getRank: SourceRank,
): PrefixSource {
  const shorterBlocks = lookup.sharedBlocks.slice(0, -1);
  const shorter = findShorterHolder(prefixes, shorterBlocks, chosen, getRank, lookup.now);
  if (next !== undefined && isWorthAsking(prefixes, lookup, next, shorter)) {
    return { kind: "next", entry: next };
  }
  return shorter === undefined
    ? { kind: "none", entry: undefined }
    : { kind: "shorter", entry: shorter.entry };
}

/** Checks whether to ask the next engine rather than a known holder of a shorter prefix. */
function isWorthAsking(
  prefixes: PrefixDirectory,
  { sharedBlocks, sharedBlockTokens, now }: SourceLookup,
  next: UpstreamEntry,
  shorter: ShorterHolder | undefined,
): boolean {
  if (shorter === undefined) {
    return true;
  }
  const { blockCount } = shorter;
  const known = sum(sharedBlockTokens.slice(0, blockCount));
  const more = sum(sharedBlockTokens.slice(blockCount));
  const isHeld = prefixes.isHeldBy(sharedBlocks[blockCount - 1] ?? 0, next, now);
  return isHeld || more >= known * guessFactor;
}

/** Guesses which engine holds a prompt: the one that precedes the chosen one in the rendezvous order, if any does. */
function guessFormerHolder(
  entries: readonly UpstreamEntry[],
  { service, stickyKey, now }: Pick<PrefixLookup, "service" | "stickyKey" | "now">,
  chosen: UpstreamEntry,
  getRank: SourceRank,
): UpstreamEntry | undefined {
  if (stickyKey === undefined) {
    return undefined;
  }
  const others = entries.filter((entry) => entry.record.service === service && entry !== chosen);
  const isNew = chosen.isRecentlyAdded(now) && others.some((entry) => entry.wasAddedBefore(chosen));
  const mayHaveServed = (entry: UpstreamEntry): boolean =>
    !entry.isRecentlyAdded(now) ||
    (isNew ? entry.wasAddedBefore(chosen) : !chosen.wasAddedBefore(entry));
  const formers = others.filter((entry) => getRank(entry) !== undefined && mayHaveServed(entry));
  const first = findFirstByKey(isNew ? formers : [...formers, chosen], stickyKey, () => true);
  return first === chosen ? undefined : first;
}

/** Gets the engine that requests for the key went to when the chosen one was at the load limit of another daemon. */
function findNext(
  entries: readonly UpstreamEntry[],
  { service, stickyKey }: Pick<PrefixLookup, "service" | "stickyKey">,
  chosen: UpstreamEntry,
  getRank: SourceRank,
): UpstreamEntry | undefined {
  return stickyKey === undefined
    ? undefined
    : findFirstByKey(
        entries,
        stickyKey,
        (entry) => entry.record.service === service && entry !== chosen && getRank(entry) === 0,
      );
}

interface ShorterHolder {
  readonly entry: UpstreamEntry;
  /** Shared blocks that it holds, from the first. */
  readonly blockCount: number;
}

function findShorterHolder(
  prefixes: PrefixDirectory,
  blocks: readonly number[],
  chosen: UpstreamEntry,
  getRank: SourceRank,
  now: number,
): ShorterHolder | undefined {
  for (let blockCount = blocks.length; blockCount > 0; blockCount -= 1) {
    const block = blocks[blockCount - 1] ?? 0;
    if (prefixes.isHeldBy(block, chosen, now)) {
      return undefined;
    }
    const entry = prefixes.getBestHolder(block, getRank, now);
    if (entry !== undefined) {
      return { entry, blockCount };
    }
  }
  return undefined;
}

function sum(counts: readonly number[]): number {
  return counts.reduce((total, count) => total + count, 0);
}
