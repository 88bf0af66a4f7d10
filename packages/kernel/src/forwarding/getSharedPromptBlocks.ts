import type { PromptBlock, RequestHead } from "./messages.js";

/**
 * Gets the prompt blocks that other requests may share, in order: all but the last one, which is the request's own, or the
 * only block.
 * @param prompt - The request's prompt.
 */
export function getSharedPromptBlocks({
  promptBlocks,
}: Pick<RequestHead, "promptBlocks">): readonly PromptBlock[] {
  return promptBlocks.length > 1 ? promptBlocks.slice(0, -1) : promptBlocks;
}
