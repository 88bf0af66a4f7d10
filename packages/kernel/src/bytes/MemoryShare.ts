/** What a share needs of its budget. */
export interface ShareOwner {
  readonly take: (share: MemoryShare, bytes: number) => boolean;
  readonly release: (share: MemoryShare) => void;
}

/** The part of a memory budget that one holder uses. */
export class MemoryShare {
  private constructor(
    private readonly owner: ShareOwner,
    private onEvicted: (() => void) | undefined,
  ) {}

  /**
   * Creates a share of which nothing is used.
   * @param owner - Budget that it belongs to.
   * @param onEvicted - Called when the budget takes the share back; undefined if it cannot be.
   */
  static create(owner: ShareOwner, onEvicted: (() => void) | undefined): MemoryShare {
    return new MemoryShare(owner, onEvicted);
  }

  /** Checks whether the budget may take the share back. */
  isEvictable(): boolean {
    return this.onEvicted !== undefined;
  }

  /**
   * Takes bytes from the budget.
   * @param bytes - Number of bytes.
   * @returns False when the budget has none left for this share.
   */
  take(bytes: number): boolean {
    return this.owner.take(this, bytes);
  }

  /** Makes the share one that cannot be taken back, because what it holds is in use. */
  pin(): void {
    this.onEvicted = undefined;
  }

  /** Returns all bytes; further calls do nothing. */
  release(): void {
    this.owner.release(this);
  }

  /** Tells the holder that the budget takes the share back. */
  evict(): void {
    this.onEvicted?.();
  }
}
