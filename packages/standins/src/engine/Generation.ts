import { getAnswerDigest, getToken, getWords } from "./answer.js";
import type { Completion } from "./schema.js";

/** Where a generation stands. */
export type GenerationState = "waiting" | "running" | "done" | "cancelled";

/** What a generation is made from. */
export interface GenerationRequest {
  readonly attempt: string;
  readonly chat: string;
  readonly priority: number;
  readonly tokens: number;
  readonly completion: Completion;
}

/** Tokens counted for one request. */
export interface Usage {
  readonly prompt_tokens: number;
  readonly completion_tokens: number;
  readonly cached_tokens: number;
}

/** One request that the engine computes; it goes on without a reader until it is cancelled. */
export class Generation {
  readonly attempt: string;
  readonly chat: string;
  readonly priority: number;
  readonly model: string;
  readonly totalTokens: number;
  readonly promptWords: readonly string[];
  state: GenerationState = "waiting";
  emittedTokens = 0;
  cachedTokens = 0;
  /** Prompt tokens that remain to be computed. */
  remainingPrefillTokens = 0;
  /** Connections that read the answer now. */
  readerCount = 0;
  /** Whether the answer was counted as completed. */
  isCompletionCounted = false;
  private readonly digest: string;
  private readonly wakeReaders = new Set<() => void>();

  private constructor(request: GenerationRequest) {
    const { messages, model } = request.completion;
    this.attempt = request.attempt;
    this.chat = request.chat;
    this.priority = request.priority;
    this.model = model;
    this.totalTokens = request.tokens;
    this.promptWords = messages.flatMap((message) => getWords(message.content));
    this.digest = getAnswerDigest({ chat: this.chat, message: messages.at(-1)?.content ?? "" });
  }

  /**
   * Creates a generation that waits for a slot.
   * @param request - Request to compute.
   */
  static create(request: GenerationRequest): Generation {
    return new Generation(request);
  }

  /** Whether no further token will come. */
  isEnded(): boolean {
    return this.state === "done" || this.state === "cancelled";
  }

  /**
   * Starts to compute the prompt.
   * @param cachedTokens - Leading prompt tokens found in the cache.
   */
  start(cachedTokens: number): void {
    this.state = "running";
    this.cachedTokens = cachedTokens;
    this.remainingPrefillTokens = this.promptWords.length - cachedTokens;
  }

  /**
   * Computes one step of the batch: a part of the prompt, or one token.
   * @param prefillTokensPerStep - Prompt tokens computed in one step.
   */
  step(prefillTokensPerStep: number): void {
    if (this.remainingPrefillTokens > 0) {
      this.remainingPrefillTokens -= prefillTokensPerStep;
      return;
    }
    this.emittedTokens += 1;
    if (this.emittedTokens === this.totalTokens) {
      this.state = "done";
    }
    this.wake();
  }

  /** Stops the generation; returns whether it had not ended before. */
  cancel(): boolean {
    if (this.isEnded()) {
      return false;
    }
    this.state = "cancelled";
    this.wake();
    return true;
  }

  /**
   * Gets a part of the answer's text.
   * @param from - First token, from 0.
   * @param to - Token after the last one.
   */
  getText(from: number, to: number): string {
    const tokens = [];
    for (let index = from; index < to; index += 1) {
      tokens.push(getToken(this.digest, index));
    }
    return tokens.join("");
  }

  /** Gets the words that the cache holds once the generation is done. */
  getCacheableWords(): readonly string[] {
    return [...this.promptWords, ...getWords(this.getText(0, this.emittedTokens))];
  }

  /** Gets the tokens counted so far. */
  getUsage(): Usage {
    return {
      prompt_tokens: this.promptWords.length,
      completion_tokens: this.emittedTokens,
      cached_tokens: this.cachedTokens,
    };
  }

  /**
   * Waits until there is a token after an offset, the generation has ended, or the reader is gone.
   * @param offset - Tokens that the reader has.
   * @param signal - Ends the wait when the reader goes away.
   */
  async waitForToken(offset: number, signal: AbortSignal): Promise<void> {
    while (this.emittedTokens <= offset && !this.isEnded() && !signal.aborted) {
      await this.waitForWake(signal);
    }
  }

  private waitForWake(signal: AbortSignal): Promise<void> {
    return new Promise((resolve) => {
      const wakeReader = () => {
        signal.removeEventListener("abort", wakeReader);
        this.wakeReaders.delete(wakeReader);
        resolve();
      };
      signal.addEventListener("abort", wakeReader);
      this.wakeReaders.add(wakeReader);
    });
  }

  private wake(): void {
    for (const wakeReader of [...this.wakeReaders]) {
      wakeReader();
    }
  }
}
