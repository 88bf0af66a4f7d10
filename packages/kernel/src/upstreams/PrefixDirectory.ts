import type { UpstreamEntry } from "./UpstreamEntry.js";

const maxBlocks = 4_096;
const maxHoldersPerBlock = 128;
/** Time after which an engine may have evicted a block from its cache. */
const cacheLifetimeMilliseconds = 60_000;
/** A use of a block is worth telling the other daemons if the last known one is older than this. */
const noticeIntervalMilliseconds = 4_000;

type Holders = Map<UpstreamEntry, number>;

/**
 * Records which engines have read which prompt blocks, for this daemon or for others, and likely
 * cache them. Blocks are named by the hashes of their ids.
 */
export class PrefixDirectory {
  private readonly holdersByBlock = new Map<number, Holders>();

  private constructor() {
    // Created through the static method.
  }

  /** Creates an empty directory. */
  static create(): PrefixDirectory {
    return new PrefixDirectory();
  }

  /**
   * Records that an engine reads a prompt.
   * @param blocks - Hashes of the prompt blocks that other requests share, in order.
   * @param entry - The engine.
   * @param usedAt - Monotonic time at which it read them.
   * @returns Whether the other daemons should be told that it holds the last block.
   */
  addHolder(blocks: readonly number[], entry: UpstreamEntry, usedAt: number): boolean {
    const last = blocks.at(-1);
    const known = last === undefined ? undefined : this.holdersByBlock.get(last)?.get(entry);
    const isNews = known === undefined || usedAt - known > noticeIntervalMilliseconds;
    for (const block of blocks) {
      const holders = this.holdersByBlock.get(block) ?? new Map<UpstreamEntry, number>();
      // Maps keep insertion order, so deleting first keeps them ordered by last use.
      this.holdersByBlock.delete(block);
      this.holdersByBlock.set(block, holders);
      holders.delete(entry);
      holders.set(entry, usedAt);
      dropOldest(holders, maxHoldersPerBlock);
    }
    dropOldest(this.holdersByBlock, maxBlocks);
    return isNews;
  }

  /**
   * Gets an engine that holds a longer prefix of a prompt than the engine that will serve it, if
   * one is known.
   * @param blocks - Hashes of the prompt blocks that other requests share, in order.
   * @param chosen - Engine that will serve the prompt.
   * @param isUsable - Checks whether blocks can be transferred from an engine.
   * @param now - Monotonic time.
   */
  getLongerPrefixHolder(
    blocks: readonly number[],
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

  /**
   * Checks whether an engine likely caches a block.
   * @param block - Hash of the block's id.
   * @param entry - The engine.
   * @param now - Monotonic time.
   */
  isHolder(block: number, entry: UpstreamEntry, now: number): boolean {
    const usedAt = this.holdersByBlock.get(block)?.get(entry);
    return usedAt !== undefined && now - usedAt < cacheLifetimeMilliseconds;
  }

  /** Checks whether any engine is known to hold a block. */
  isKnown(block: number): boolean {
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
