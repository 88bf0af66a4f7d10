import { getAnswerDigest, getToken, getWords } from "./answer.js";
import type { Completion } from "./schema.js";

/** State of a generation. */
export type GenerationState = "waiting" | "running" | "done" | "cancelled";

/** Input of a generation. */
export interface GenerationRequest {
  readonly attempt: string;
  readonly chat: string;
  readonly priority: number;
  readonly tokens: number;
  readonly completion: Completion;
}

/** Token usage of one request. */
export interface Usage {
  readonly prompt_tokens: number;
  readonly completion_tokens: number;
  readonly cached_tokens: number;
}

/** The computation of one request; it continues without a reader until it is cancelled. */
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
  /** Connections that read the answer at the moment. */
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

  /** Checks whether the generation is done or cancelled, so that no further token follows. */
  isEnded(): boolean {
    return this.state === "done" || this.state === "cancelled";
  }

  /**
   * Starts the prefill of the prompt.
   * @param cachedTokens - Leading prompt tokens found in the cache.
   */
  start(cachedTokens: number): void {
    this.state = "running";
    this.cachedTokens = cachedTokens;
    this.remainingPrefillTokens = this.promptWords.length - cachedTokens;
  }

  /**
   * Computes one step of the batch: some prompt tokens, or one answer token.
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

  /** Cancels the generation; returns false when it had already ended. */
  cancel(): boolean {
    if (this.isEnded()) {
      return false;
    }
    this.state = "cancelled";
    this.wake();
    return true;
  }

  /**
   * Gets the answer's text from one token up to another, which is excluded.
   * @param from - Index of the first token.
   * @param to - Index after the last token.
   */
  getText(from: number, to: number): string {
    const tokens = [];
    for (let index = from; index < to; index += 1) {
      tokens.push(getToken(this.digest, index));
    }
    return tokens.join("");
  }

  /** Gets the words of the prompt and the answer, which the prefix cache stores. */
  getCacheableWords(): readonly string[] {
    return [...this.promptWords, ...getWords(this.getText(0, this.emittedTokens))];
  }

  /** Gets the token usage so far. */
  getUsage(): Usage {
    return {
      prompt_tokens: this.promptWords.length,
      completion_tokens: this.emittedTokens,
      cached_tokens: this.cachedTokens,
    };
  }

  /**
   * Waits until there is a token after an offset, the generation has ended, or the reader
   * disconnects.
   * @param offset - Number of tokens that the reader has.
   * @param signal - Ends the wait when the reader disconnects.
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
