import type { UpstreamEntry } from "./UpstreamEntry.js";

const maxParts = 4_096;
const maxHoldersOfPart = 128;
/** After this time an engine may have dropped a part, in milliseconds. */
const keptMilliseconds = 60_000;

type Holders = Map<UpstreamEntry, number>;

/** Remembers which engines have read which parts of prompts for this daemon. */
export class PrefixDirectory {
  private readonly holdersByPart = new Map<string, Holders>();

  private constructor() {
    // Created through the static method.
  }

  /** Creates an empty directory. */
  static create(): PrefixDirectory {
    return new PrefixDirectory();
  }

  /**
   * Notes that an engine reads a prompt.
   * @param parts - Ids of the parts that prompts share, in order.
   * @param entry - The engine.
   * @param now - Monotonic time.
   */
  addHolder(parts: readonly string[], entry: UpstreamEntry, now: number): void {
    for (const part of parts) {
      const holders = this.holdersByPart.get(part) ?? new Map<UpstreamEntry, number>();
      // Deleted first, so that the maps stay in the order of use.
      this.holdersByPart.delete(part);
      this.holdersByPart.set(part, holders);
      holders.delete(entry);
      holders.set(entry, now);
      dropOldest(holders, maxHoldersOfPart);
    }
    dropOldest(this.holdersByPart, maxParts);
  }

  /**
   * Gets an engine that holds more of a prompt than the one that will serve it, if one is known.
   * @param parts - Ids of the parts that prompts share, in order.
   * @param chosen - Engine that will serve the prompt.
   * @param isUsable - Tells whether an engine can be asked for its parts.
   * @param now - Monotonic time.
   */
  getBetterHolder(
    parts: readonly string[],
    chosen: UpstreamEntry,
    isUsable: (entry: UpstreamEntry) => boolean,
    now: number,
  ): UpstreamEntry | undefined {
    for (const part of [...parts].reverse()) {
      const holders = this.holdersByPart.get(part);
      const fresh = [...(holders ?? [])].filter(([, usedAt]) => now - usedAt < keptMilliseconds);
      if (fresh.some(([entry]) => entry === chosen)) {
        return undefined;
      }
      const holder = fresh.reverse().find(([entry]) => isUsable(entry));
      if (holder !== undefined) {
        return holder[0];
      }
    }
    return undefined;
  }

  /** Tells whether any engine is known to hold a part. */
  isKnown(part: string): boolean {
    return this.holdersByPart.has(part);
  }
}

function dropOldest<Key>(map: Map<Key, unknown>, size: number): void {
  for (const key of map.keys()) {
    if (map.size <= size) {
      return;
    }
    map.delete(key);
  }
}
