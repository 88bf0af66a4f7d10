import type { UpstreamEntry } from "./UpstreamEntry.js";

const maxBlocks = 4_096;
const maxHoldersPerBlock = 128;
/** Time after which an engine may have evicted a block from its cache. */
const cacheLifetimeMilliseconds = 60_000;

type Holders = Map<UpstreamEntry, number>;

/** Records which engines have read which prompt blocks for this daemon and likely cache them. */
export class PrefixDirectory {
  private readonly holdersByBlock = new Map<string, Holders>();

  private constructor() {
    // Created through the static method.
  }

  /** Creates an empty directory. */
  static create(): PrefixDirectory {
    return new PrefixDirectory();
  }

  /**
   * Records that an engine reads a prompt.
   * @param blocks - Ids of the prompt blocks that other requests share, in order.
   * @param entry - The engine.
   * @param now - Monotonic time.
   */
  addHolder(blocks: readonly string[], entry: UpstreamEntry, now: number): void {
    for (const block of blocks) {
      const holders = this.holdersByBlock.get(block) ?? new Map<UpstreamEntry, number>();
      // Maps keep insertion order, so deleting first keeps them ordered by last use.
      this.holdersByBlock.delete(block);
      this.holdersByBlock.set(block, holders);
      holders.delete(entry);
      holders.set(entry, now);
      dropOldest(holders, maxHoldersPerBlock);
    }
    dropOldest(this.holdersByBlock, maxBlocks);
  }

  /**
   * Gets an engine that holds a longer prefix of a prompt than the engine that will serve it, if
   * one is known.
   * @param blocks - Ids of the prompt blocks that other requests share, in order.
   * @param chosen - Engine that will serve the prompt.
   * @param isUsable - Checks whether blocks can be transferred from an engine.
   * @param now - Monotonic time.
   */
  getLongerPrefixHolder(
    blocks: readonly string[],
    chosen: UpstreamEntry,
    isUsable: (entry: UpstreamEntry) => boolean,
    now: number,
  ): UpstreamEntry | undefined {
    for (const block of [...blocks].reverse()) {
      const holders = this.holdersByBlock.get(block);
      const fresh = [...(holders ?? [])].filter(
        ([, usedAt]) => now - usedAt < cacheLifetimeMilliseconds,
      );
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

  /** Checks whether any engine is known to hold a block. */
  isKnown(block: string): boolean {
    return this.holdersByBlock.has(block);
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
