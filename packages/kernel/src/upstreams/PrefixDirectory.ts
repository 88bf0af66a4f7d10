import type { UpstreamEntry } from "./UpstreamEntry.js";

const maxBlocks = 4_096;
const maxHoldersPerBlock = 128;
/** Time after which an engine may have evicted a block from its cache. */
const cacheLifetimeMilliseconds = 60_000;
/** A use of a block is worth telling the other daemons if the last known one is older than this. */
const noticeIntervalMilliseconds = 4_000;

type Holders = Map<UpstreamEntry, number>;

/** Ranks an engine as the source of a transfer: lower ones are better; undefined for an engine that is none. */
export type SourceRank = (entry: UpstreamEntry) => number | undefined;

/**
 * Records which engines have read which prompt blocks, for this daemon or for others, and likely
 * cache them. Blocks are named by the hashes of their ids.
 */
export class PrefixDirectory {
  private readonly holdersByBlock = new Map<number, Holders>();
  /** Numbers of attempts that wait for an engine to read a block, by block and engine. */
  private readonly readersByBlock = new Map<number, Map<UpstreamEntry, number>>();

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
   * Checks whether an engine holds a block, as far as is known.
   * @param block - Hash of the block.
   * @param entry - The engine.
   * @param now - Monotonic time.
   */
  isHeldBy(block: number, entry: UpstreamEntry, now: number): boolean {
    const usedAt = this.holdersByBlock.get(block)?.get(entry);
    return usedAt !== undefined && isValid(entry, usedAt, now);
  }

  /**
   * Gets the best engine that holds a block; among equal ones the one that was recorded last.
   * @param block - Hash of the block.
   * @param getRank - Ranks the engines.
   * @param now - Monotonic time.
   */
  getBestHolder(block: number, getRank: SourceRank, now: number): UpstreamEntry | undefined {
    let best: UpstreamEntry | undefined;
    let bestRank = Infinity;
    for (const [entry, usedAt] of this.holdersByBlock.get(block) ?? []) {
      const rank = isValid(entry, usedAt, now) ? getRank(entry) : undefined;
      if (rank !== undefined && rank <= bestRank) {
        best = entry;
        bestRank = rank;
      }
    }
    return best;
  }

  /**
   * Records that an engine was sent a prompt and has not begun to answer.
   * @param blocks - Hashes of the prompt blocks that other requests share.
   * @param entry - The engine.
   */
  startReading(blocks: readonly number[], entry: UpstreamEntry): void {
    for (const block of blocks) {
      const readers = this.readersByBlock.get(block) ?? new Map<UpstreamEntry, number>();
      this.readersByBlock.set(block, readers);
      readers.set(entry, (readers.get(entry) ?? 0) + 1);
    }
  }

  /**
   * Records that an engine has begun to answer a prompt, or that the attempt has ended before.
   * @param blocks - The blocks that `startReading` was called with.
   * @param entry - The engine.
   */
  endReading(blocks: readonly number[], entry: UpstreamEntry): void {
    for (const block of blocks) {
      const readers = this.readersByBlock.get(block);
      const count = readers?.get(entry) ?? 0;
      if (count > 1) {
        readers?.set(entry, count - 1);
      } else {
        readers?.delete(entry);
      }
      if (readers?.size === 0) {
        this.readersByBlock.delete(block);
      }
    }
  }

  /** Checks whether any engine was sent a prompt with a block and has not begun to answer. */
  isRead(block: number): boolean {
    return this.readersByBlock.has(block);
  }

  /** Checks whether an engine was sent a prompt with a block and has not begun to answer. */
  isReadBy(block: number, entry: UpstreamEntry): boolean {
    return this.readersByBlock.get(block)?.has(entry) === true;
  }

  /**
   * Gets the best engine that is reading a block; among equal ones the one that began first.
   * @param block - Hash of the block.
   * @param getRank - Ranks the engines.
   */
  getBestReader(block: number, getRank: SourceRank): UpstreamEntry | undefined {
    let best: UpstreamEntry | undefined;
    let bestRank = Infinity;
    for (const entry of this.readersByBlock.get(block)?.keys() ?? []) {
      const rank = getRank(entry);
      if (rank !== undefined && rank < bestRank) {
        best = entry;
        bestRank = rank;
      }
    }
    return best;
  }

  /** Checks whether any engine is known to hold a block. */
  isKnown(block: number): boolean {
    return this.holdersByBlock.has(block);
  }
}

/** A record from before the engine's restart, such as one that a peer told late, is of its former incarnation. */
function isValid({ restartedAt }: UpstreamEntry, usedAt: number, now: number): boolean {
  return now - usedAt < cacheLifetimeMilliseconds && usedAt >= restartedAt;
}

function dropOldest<Key>(map: Map<Key, unknown>, size: number): void {
  for (const key of map.keys()) {
    if (map.size <= size) {
      return;
    }
    map.delete(key);
  }
}
