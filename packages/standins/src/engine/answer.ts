import { createHash } from "node:crypto";

const digestLength = 10;

/** Number of tokens of an answer when the request sets no `max_tokens`. */
export const defaultAnswerTokens = 16;

/** Input that determines the content of an answer. */
export interface AnswerInput {
  /** Chat id. */
  readonly chat: string;
  /** Content of the last message. */
  readonly message: string;
  /** Number of tokens: `max_tokens` of the request. */
  readonly tokens?: number;
}

/**
 * Gets the complete answer, which is the same from every engine and for every attempt.
 * @param input - Chat, last message and number of tokens.
 */
export function getExpectedAnswer(input: AnswerInput): string {
  const digest = getAnswerDigest(input);
  const count = input.tokens ?? defaultAnswerTokens;
  return Array.from({ length: count }, (_unused, index) => getToken(digest, index)).join("");
}

/**
 * Gets the digest that every token of an answer contains.
 * @param input - Chat and last message.
 */
export function getAnswerDigest(input: AnswerInput): string {
  const text = JSON.stringify([input.chat, input.message]);
  return createHash("sha256").update(text).digest("hex").slice(0, digestLength);
}

/**
 * Gets one token of an answer.
 * @param digest - Digest of the answer.
 * @param index - Position of the token, from 0.
 */
export function getToken(digest: string, index: number): string {
  return `${index === 0 ? "" : " "}${digest}.${String(index)}`;
}

/**
 * Splits text into words; each word counts as a token.
 * @param text - Text to split.
 */
export function getWords(text: string): string[] {
  return text.split(/\s+/).filter((word) => word !== "");
}
