import { getHash, mixHashes, type RequestContent } from "@pistachioway/kernel";
import type { ChatRequest } from "./ChatRequest.js";

/** Messages of a chat that are looked at, the first ones. */
const maxMessages = 32;

/**
 * Gets what a chat request has in common with others: the whole of it, the chat, and its messages but the
 * last. They are hashed with the model, as another one may bear what crashes this one.
 * @param chat - Chat request.
 */
export function getChatContent({ body, engineChatId }: ChatRequest): RequestContent {
  const model = getHash(body.model);
  const shared = body.messages.slice(0, -1).slice(0, maxMessages);
  const texts = shared.map(({ role, content }) => `${role} ${JSON.stringify(content)}`);
  const blocks = [`chat ${engineChatId}`, ...texts].map((text) => mixHashes(model, getHash(text)));
  return { whole: getHash(`${engineChatId} ${JSON.stringify(body)}`), blocks };
}
