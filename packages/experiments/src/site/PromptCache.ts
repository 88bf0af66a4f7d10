/** A block of a prompt. */
export interface PromptBlock {
  readonly id: string;
  readonly tokens: number;
}

/** Prompt blocks that an engine has cached, with eviction of the least recently used ones. */
export class PromptCache {
  private readonly tokensById = new Map<string, number>();
  private tokens = 0;

  private constructor(private readonly capacityTokens: number) {}

  /**
   * Creates an empty cache.
   * @param capacityTokens - Tokens that the cache holds at most.
   */
  static create(capacityTokens: number): PromptCache {
    return new PromptCache(capacityTokens);
  }

  /**
   * Gets the number of cached tokens of a prompt.
   * A block counts only if all blocks before it are cached.
   * @param blocks - Blocks of the prompt, in order.
   */
  getCachedTokens(blocks: readonly PromptBlock[]): number {
    const firstMissingIndex = blocks.findIndex(({ id }) => !this.tokensById.has(id));
    const cached = firstMissingIndex < 0 ? blocks : blocks.slice(0, firstMissingIndex);
    return cached.reduce((sum, { tokens }) => sum + tokens, 0);
  }

  /**
   * Adds the blocks of a prompt and evicts the least recently used ones above the capacity.
   * @param blocks - Blocks of the prompt, in order.
   */
  addBlocks(blocks: readonly PromptBlock[]): void {
    for (const { id, tokens } of blocks) {
      this.tokens += this.tokensById.delete(id) ? 0 : tokens;
      this.tokensById.set(id, tokens);
    }
    for (const [id, tokens] of this.tokensById) {
      if (this.tokens <= this.capacityTokens) {
        return;
      }
      this.tokensById.delete(id);
      this.tokens -= tokens;
    }
  }
}
