import type { Instant } from "@pistachioway/kernel";

const maxEvents = 10_000;

/** A change of the cache, in the form that engines publish. */
export interface CacheEvent {
  readonly sequence: number;
  readonly kind: "stored" | "evicted";
  readonly chat: string;
  readonly tokens: number;
}

interface RecordedEvent extends CacheEvent {
  readonly at: Instant;
}

/** Cached prompt prefixes by chat, limited in tokens; evicts the least recently used chat first. */
export class PrefixCache {
  /** Words by chat, the least recently used first. */
  private readonly wordsByChat = new Map<string, readonly string[]>();
  private readonly events: RecordedEvent[] = [];
  private tokens = 0;
  private sequence = 0;

  private constructor(
    private readonly maxTokens: number,
    private readonly lostEventInterval: number,
  ) {}

  /**
   * Creates an empty cache.
   * @param maxTokens - Limit of cached tokens, over all chats.
   * @param lostEventInterval - Every n-th event is lost; 0 loses none.
   */
  static create(maxTokens: number, lostEventInterval: number): PrefixCache {
    return new PrefixCache(maxTokens, lostEventInterval);
  }

  /**
   * Gets the number of leading words of a prompt that are cached for a chat.
   * @param chat - Chat id.
   * @param prompt - Words of the prompt.
   */
  getCachedTokens(chat: string, prompt: readonly string[]): number {
    const cached = this.wordsByChat.get(chat) ?? [];
    const firstDifference = cached.findIndex((word, index) => word !== prompt[index]);
    return firstDifference === -1 ? cached.length : firstDifference;
  }

  /**
   * Gets the cached words of a chat.
   * @param chat - Chat id.
   */
  getPrefix(chat: string): readonly string[] | undefined {
    return this.wordsByChat.get(chat);
  }

  /**
   * Stores the words of a chat and evicts the least recently used chats beyond the limit.
   * @param chat - Chat id.
   * @param words - Words of the prompt and the answer.
   * @param now - Time of the event.
   */
  store(chat: string, words: readonly string[], now: Instant): void {
    this.remove(chat);
    if (words.length > this.maxTokens) {
      return;
    }
    this.wordsByChat.set(chat, words);
    this.tokens += words.length;
    this.addEvent("stored", chat, words.length, now);
    this.evict(now);
  }

  /** Gets the number of cached tokens, over all chats. */
  getTokens(): number {
    return this.tokens;
  }

  /**
   * Gets the events after a sequence number, up to a time.
   * @param after - Last sequence number that the reader has.
   * @param notAfter - Events after this time are not reported yet.
   */
  getEvents(after: number, notAfter: Instant): { events: CacheEvent[]; next: number } {
    const due = this.events.filter((event) => event.sequence > after && event.at <= notAfter);
    const events = due.map(({ sequence, kind, chat, tokens }) => ({
      sequence,
      kind,
      chat,
      tokens,
    }));
    return { events, next: due.at(-1)?.sequence ?? after };
  }

  private evict(now: Instant): void {
    for (const [chat, words] of this.wordsByChat) {
      if (this.tokens <= this.maxTokens) {
        return;
      }
      this.remove(chat);
      this.addEvent("evicted", chat, words.length, now);
    }
  }

  private remove(chat: string): void {
    this.tokens -= this.wordsByChat.get(chat)?.length ?? 0;
    this.wordsByChat.delete(chat);
  }

  private addEvent(kind: CacheEvent["kind"], chat: string, tokens: number, at: Instant): void {
    this.sequence += 1;
    if (this.lostEventInterval > 0 && this.sequence % this.lostEventInterval === 0) {
      return;
    }
    this.events.push({ sequence: this.sequence, kind, chat, tokens, at });
    if (this.events.length > maxEvents) {
      this.events.shift();
    }
  }
}
