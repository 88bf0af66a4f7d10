import { getSharedPromptBlocks, type RequestHead } from "../forwarding/index.js";
import { getHash } from "../hashing/index.js";
import type { PrefixDirectory, UpstreamEntry } from "../upstreams/index.js";
import type { RequestWork } from "./RequestWork.js";

/** What a request tells of its prompt. */
export type RequestPrompt = Pick<RequestHead, "promptBlocks" | "tokens">;

/**
 * Gets the work of a request at an engine.
 * @param prefixes - Which engines likely cache which blocks.
 * @param prompt - The request's prompt.
 * @param holders - The engine, and the one that it fetches cached blocks from, if any.
 * @param now - Monotonic time.
 */
export function getRequestWork(
  prefixes: PrefixDirectory,
  prompt: RequestPrompt,
  holders: readonly UpstreamEntry[],
  now: number,
): RequestWork {
  const { promptBlocks, tokens } = prompt;
  const shared = getSharedPromptBlocks(prompt);
  const lastHeldIndex = shared.findLastIndex(({ id }) =>
    holders.some((entry) => prefixes.isHeldBy(getHash(id), entry, now)),
  );
  const cachedTokens = sumTokens(shared.slice(0, lastHeldIndex + 1));
  const promptTokens = tokens?.prompt ?? sumTokens(promptBlocks);
  return {
    promptTokens,
    unreadTokens: Math.max(0, promptTokens - cachedTokens),
    outputTokens: tokens?.maxOutput ?? 0,
  };
}

function sumTokens(blocks: readonly { readonly tokens: number }[]): number {
  return blocks.reduce((sum, { tokens }) => sum + tokens, 0);
}
