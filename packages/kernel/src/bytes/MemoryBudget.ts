import { MemoryShare, type ShareOwner } from "./MemoryShare.js";

/**
 * Bounds the bytes from outside that a process keeps, over all requests. When it is used up, the largest holder
 * that can fail does, so that one faulty sender costs the others nothing.
 */
export class MemoryBudget implements ShareOwner {
  private readonly bytesByShare = new Map<MemoryShare, number>();
  private usedBytes = 0;

  private constructor(private readonly maxBytes: number) {}

  /**
   * Creates a budget of which nothing is used.
   * @param maxBytes - Bytes that all holders may have together.
   */
  static create(maxBytes: number): MemoryBudget {
    return new MemoryBudget(maxBytes);
  }

  /** Gets the bytes that all holders have. */
  getUsedBytes(): number {
    return this.usedBytes;
  }

  /**
   * Opens a share for one holder.
   * @param onEvicted - Called when the holder must fail, as the budget is used up.
   */
  addShare(onEvicted?: () => void): MemoryShare {
    return MemoryShare.create(this, onEvicted);
  }

  take(share: MemoryShare, bytes: number): boolean {
    const wanted = (this.bytesByShare.get(share) ?? 0) + bytes;
    while (this.usedBytes + bytes > this.maxBytes) {
      const largest = this.getLargestOther(share, wanted);
      if (largest === undefined) {
        return false;
      }
      this.release(largest);
      largest.evict();
    }
    this.bytesByShare.set(share, wanted);
    this.usedBytes += bytes;
    return true;
  }

  release(share: MemoryShare): void {
    this.usedBytes -= this.bytesByShare.get(share) ?? 0;
    this.bytesByShare.delete(share);
  }

  /** Gets the largest other share that can be taken back, if it is larger than a number of bytes. */
  private getLargestOther(share: MemoryShare, minBytes: number): MemoryShare | undefined {
    let largest: MemoryShare | undefined;
    let largestBytes = minBytes;
    for (const [other, bytes] of this.bytesByShare) {
      if (other !== share && bytes > largestBytes && other.isEvictable()) {
        largest = other;
        largestBytes = bytes;
      }
    }
    return largest;
  }
}
