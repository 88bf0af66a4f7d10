/** A part of a prompt. */
export interface PromptBlock {
  readonly id: string;
  readonly tokens: number;
}

/** The parts of prompts that an engine keeps; the least recently used ones yield. */
export class PromptCache {
  private readonly tokensById = new Map<string, number>();
  private tokens = 0;

  private constructor(private readonly capacityTokens: number) {}

  /**
   * Creates an empty cache.
   * @param capacityTokens - Tokens that it holds.
   */
  static create(capacityTokens: number): PromptCache {
    return new PromptCache(capacityTokens);
  }

  /**
   * Gets the tokens of a prompt that are kept: a part counts if all before it are kept too.
   * @param blocks - Parts of the prompt, in order.
   */
  getCachedTokens(blocks: readonly PromptBlock[]): number {
    const firstMissingIndex = blocks.findIndex(({ id }) => !this.tokensById.has(id));
    const cached = firstMissingIndex < 0 ? blocks : blocks.slice(0, firstMissingIndex);
    return cached.reduce((sum, { tokens }) => sum + tokens, 0);
  }

  /**
   * Keeps the parts of a prompt.
   * @param blocks - Parts of the prompt, in order.
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
