import type { Instant } from "../kernel/Plugin.js";

interface Entry {
  readonly engine: number;
  readonly expiresAt: Instant;
}

const entryLifetimeMilliseconds = 4 * 60 * 60 * 1000;

/** Bounded map from a chat to the engine that caches its prefix. Evicts the oldest entry first. */
export class ChatDirectory {
  private readonly entriesByChat = new Map<number, Entry>();

  private constructor(private readonly maxEntries: number) {}

  /**
   * Creates an empty directory.
   * @param maxEntries - Maximum number of chats to keep.
   */
  static create(maxEntries: number): ChatDirectory {
    return new ChatDirectory(maxEntries);
  }

  /** Gets the number of chats in the directory, expired ones included. */
  getSize(): number {
    return this.entriesByChat.size;
  }

  /**
   * Stores the engine of a chat.
   * @param chat - Hash of the chat.
   * @param engine - Hash of the engine.
   * @param now - Current time.
   */
  addChat(chat: number, engine: number, now: Instant): void {
    this.entriesByChat.delete(chat);
    this.entriesByChat.set(chat, { engine, expiresAt: now + entryLifetimeMilliseconds });
    this.evictOldest();
  }

  /**
   * Gets the hash of the engine that caches a chat's prefix.
   * @param chat - Hash of the chat.
   * @param now - Current time.
   */
  getEngine(chat: number, now: Instant): number | undefined {
    const entry = this.entriesByChat.get(chat);
    return entry === undefined || entry.expiresAt <= now ? undefined : entry.engine;
  }

  private evictOldest(): void {
    if (this.entriesByChat.size <= this.maxEntries) {
      return;
    }
    for (const chat of this.entriesByChat.keys()) {
      this.entriesByChat.delete(chat);
      return;
    }
  }
}
