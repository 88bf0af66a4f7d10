import { guessFormerUpstream } from "./chooseUpstream.js";
import type { PrefixDirectory } from "./PrefixDirectory.js";
import type { UpstreamTable } from "./UpstreamTable.js";
import type { UpstreamEntry } from "./UpstreamEntry.js";

/** A request whose prompt some engine may hold already. */
export interface PrefixLookup {
  readonly service: string;
  /** What the request's cached prefix hangs on. */
  readonly stickyKey: string | undefined;
  /** Ids of the parts of the prompt that other requests share, in order. */
  readonly sharedBlocks: readonly string[];
  /** Monotonic time in milliseconds. */
  readonly now: number;
}

/** What a daemon knows of the engines and of the prompts that they have read. */
export interface PrefixLookupState {
  readonly upstreams: UpstreamTable;
  readonly prefixes: PrefixDirectory;
}

/**
 * Finds an engine that likely holds more of a prompt than the chosen one: where this daemon has not
 * seen the prompt's last shared part, the engine that is first in the key's order or was before.
 * @param knowledge - What the daemon knows.
 * @param demand - The request.
 * @param chosen - Engine that will serve it.
 * @param preferred - Engine that is first in the key's order, when another one was chosen.
 */
export function findPrefixHolder(
  { upstreams: upstreams, prefixes }: PrefixLookupState,
  { service, stickyKey, sharedBlocks: sharedBlocks, now }: PrefixLookup,
  chosen: UpstreamEntry,
  preferred: UpstreamEntry | undefined,
): UpstreamEntry | undefined {
  const last = sharedBlocks.at(-1);
  if (last === undefined) {
    return undefined;
  }
  const isUsable = (entry: UpstreamEntry): boolean =>
    entry !== chosen && !entry.isAvoided(now) && upstreams.getEntry(entry.record.id) === entry;
  const guess = prefixes.isKnown(last)
    ? undefined
    : (preferred ??
      guessFormerUpstream(upstreams.getEntries(), { service, stickyKey, now }, chosen));
  return guess !== undefined && isUsable(guess)
    ? guess
    : prefixes.getLongerPrefixHolder(sharedBlocks, chosen, isUsable, now);
}
