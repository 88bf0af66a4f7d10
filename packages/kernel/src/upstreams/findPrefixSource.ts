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

/**
 * Finds the source of the shared part of a prompt, in a service that is placed by work.
 * @param state - State of the daemon.
 * @param lookup - Request to find a source for.
 * @param chosen - Engine that will serve it.
 * @param preferred - First engine in the rendezvous order of the key, when another one was chosen.
 */
export function findPrefixSource(
  { upstreams, prefixes }: PrefixLookupState,
  { service, stickyKey, sharedBlocks, now }: PrefixLookup,
  chosen: UpstreamEntry,
  preferred: UpstreamEntry | undefined,
): PrefixSource {
  const last = sharedBlocks.at(-1);
  if (last === undefined) {
    return { kind: "none", entry: undefined };
  }
  if (prefixes.isHeldBy(last, chosen, now)) {
    return { kind: "held", entry: undefined };
  }
  const getRank: SourceRank = (entry) =>
    entry !== chosen && upstreams.getEntry(entry.record.id) === entry
      ? getSourceRank(entry, chosen.record.softwareVersion, now)
      : undefined;
  const holder = prefixes.getBestHolder(last, getRank, now);
  if (holder !== undefined) {
    return { kind: getRank(holder) === 0 ? "holder" : "impaired", entry: holder };
  }
  if (prefixes.isReadBy(last, chosen)) {
    return { kind: "reading", entry: undefined };
  }
  const reader = prefixes.getBestReader(last, getRank);
  if (reader !== undefined) {
    return { kind: "pending", entry: reader };
  }
  const former =
    preferred !== undefined && getRank(preferred) !== undefined
      ? preferred
      : guessFormerHolder(upstreams.getEntries(), { service, stickyKey, now }, chosen, getRank);
  if (former !== undefined) {
    return { kind: "former", entry: former };
  }
  const shorter = findShorterHolder(prefixes, sharedBlocks.slice(0, -1), chosen, getRank, now);
  const previous = sharedBlocks.at(-2);
  const next =
    previous === undefined || prefixes.isKnown(last)
      ? undefined
      : findNext(upstreams.getEntries(), { service, stickyKey }, chosen, getRank);
  const hasAsMuch =
    shorter === undefined ||
    (next !== undefined && previous !== undefined && prefixes.isHeldBy(previous, next, now));
  if (next !== undefined && hasAsMuch) {
    return { kind: "next", entry: next };
  }
  return { kind: shorter === undefined ? "none" : "shorter", entry: shorter };
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
  const first = findFirstByKey(
    entries,
    stickyKey,
    (entry) =>
      entry.record.service === service &&
      !entry.isRecentlyAdded(now) &&
      (entry === chosen || getRank(entry) !== undefined),
  );
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

function findShorterHolder(
  prefixes: PrefixDirectory,
  blocks: readonly number[],
  chosen: UpstreamEntry,
  getRank: SourceRank,
  now: number,
): UpstreamEntry | undefined {
  for (const block of [...blocks].reverse()) {
    if (prefixes.isHeldBy(block, chosen, now)) {
      return undefined;
    }
    const holder = prefixes.getBestHolder(block, getRank, now);
    if (holder !== undefined) {
      return holder;
    }
  }
  return undefined;
}
