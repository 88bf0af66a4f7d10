import { Random } from "../Random.js";

const scoresByChat = new Map<string, Float64Array>();
const maxEngines = 512;
const maxCachedChats = 20_000;

/**
 * Gets the first engines of a chat in rendezvous order.
 * @param chat - Name of the chat.
 * @param engines - Engines to order.
 * @param count - Number of engines to return.
 */
export function getRendezvousOrder(
  chat: string,
  engines: readonly number[],
  count: number,
): number[] {
  const scores = getScores(chat);
  const order = [...engines].sort((a, b) => (scores[b] ?? 0) - (scores[a] ?? 0));
  return order.slice(0, count);
}

function getScores(chat: string): Float64Array {
  const known = scoresByChat.get(chat);
  if (known !== undefined) {
    return known;
  }
  if (scoresByChat.size >= maxCachedChats) {
    scoresByChat.clear();
  }
  const scores = createScores(chat);
  scoresByChat.set(chat, scores);
  return scores;
}

function createScores(chat: string): Float64Array {
  let seed = 0;
  for (const character of chat) {
    seed = (Math.imul(seed, 31) + character.charCodeAt(0)) | 0;
  }
  const random = Random.create(seed, 5);
  return Float64Array.from({ length: maxEngines }, () => random.getUniform());
}
