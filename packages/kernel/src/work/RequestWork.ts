/** Work of a request at one engine, in tokens. */
export interface RequestWork {
  /** Tokens of the whole prompt. */
  readonly promptTokens: number;
  /** Tokens of the prompt that the engine has not cached, as far as is known. */
  readonly unreadTokens: number;
  /** Tokens that the answer has at most. */
  readonly outputTokens: number;
}
