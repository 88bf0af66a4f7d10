import { guessFormerUpstream } from "./chooseUpstream.js";
import type { PrefixDirectory } from "./PrefixDirectory.js";
import type { UpstreamEntry } from "./UpstreamEntry.js";
import type { UpstreamTable } from "./UpstreamTable.js";

/** A request with a prompt of which some engine may hold a cached prefix. */
export interface PrefixLookup {
  readonly service: string;
  /** Key of the requests that share a cached prefix. */
  readonly stickyKey: string | undefined;
  /** Hashes of the ids of the prompt blocks that other requests share, in order. */
  readonly sharedBlocks: readonly number[];
  /** Monotonic time in milliseconds. */
  readonly now: number;
}

/** State of a daemon by which prefix holders are found. */
export interface PrefixLookupState {
  readonly upstreams: UpstreamTable;
  readonly prefixes: PrefixDirectory;
}

/**
 * Finds an engine that likely holds a longer prefix of a prompt than the chosen one. If this daemon
 * has not seen the prompt's last shared block, that is the engine that is first in the rendezvous
 * order of the key, or the engine that was first before; otherwise a known holder.
 * @param state - State of the daemon.
 * @param lookup - Request to find a holder for.
 * @param chosen - Engine that will serve it.
 * @param preferred - First engine in the rendezvous order of the key, when another one was chosen.
 */
export function findPrefixHolder(
  { upstreams, prefixes }: PrefixLookupState,
  { service, stickyKey, sharedBlocks, now }: PrefixLookup,
  chosen: UpstreamEntry,
  preferred: UpstreamEntry | undefined,
): UpstreamEntry | undefined {
  const last = sharedBlocks.at(-1);
  if (last === undefined) {
    return undefined;
  }
  const isUsable = (entry: UpstreamEntry): boolean =>
    entry !== chosen &&
    entry.record.softwareVersion === chosen.record.softwareVersion &&
    !entry.isAvoided(now) &&
    upstreams.getEntry(entry.record.id) === entry;
  const guess = prefixes.isKnown(last)
    ? undefined
    : (preferred ??
      guessFormerUpstream(upstreams.getEntries(), { service, stickyKey, now }, chosen));
  return guess !== undefined && isUsable(guess)
    ? guess
    : prefixes.getLongerPrefixHolder(sharedBlocks, chosen, isUsable, now);
}
