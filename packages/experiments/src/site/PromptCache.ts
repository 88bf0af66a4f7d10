/** A part of a prompt. */
export interface PromptPart {
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
   * @param parts - Parts of the prompt, in order.
   */
  getKeptTokens(parts: readonly PromptPart[]): number {
    const firstMissing = parts.findIndex(({ id }) => !this.tokensById.has(id));
    const kept = firstMissing < 0 ? parts : parts.slice(0, firstMissing);
    return kept.reduce((sum, { tokens }) => sum + tokens, 0);
  }

  /**
   * Keeps the parts of a prompt.
   * @param parts - Parts of the prompt, in order.
   */
  addParts(parts: readonly PromptPart[]): void {
    for (const { id, tokens } of parts) {
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
