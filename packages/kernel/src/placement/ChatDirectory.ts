import type { Instant } from "../kernel/Plugin.js";

interface Entry {
  readonly engine: number;
  readonly expiresAt: Instant;
}

const entryLifetimeMilliseconds = 4 * 60 * 60 * 1000;

/** Remembers which engine holds a chat's prefix; bounded, the oldest entry goes first. */
export class ChatDirectory {
  private readonly entriesByChat = new Map<number, Entry>();

  private constructor(private readonly maxEntries: number) {}

  /**
   * Creates an empty directory.
   * @param maxEntries - Most chats to remember.
   */
  static create(maxEntries: number): ChatDirectory {
    return new ChatDirectory(maxEntries);
  }

  /** Gets the number of chats that are remembered. */
  getSize(): number {
    return this.entriesByChat.size;
  }

  /**
   * Remembers the engine of a chat.
   * @param chat - Hash of the chat.
   * @param engine - Hash of the engine.
   * @param now - Current time.
   */
  addChat(chat: number, engine: number, now: Instant): void {
    this.entriesByChat.delete(chat);
    this.entriesByChat.set(chat, { engine, expiresAt: now + entryLifetimeMilliseconds });
    this.removeOldest();
  }

  /**
   * Gets the hash of the engine that holds a chat's prefix.
   * @param chat - Hash of the chat.
   * @param now - Current time.
   */
  getEngine(chat: number, now: Instant): number | undefined {
    const entry = this.entriesByChat.get(chat);
    return entry === undefined || entry.expiresAt <= now ? undefined : entry.engine;
  }

  private removeOldest(): void {
    if (this.entriesByChat.size <= this.maxEntries) {
      return;
    }
    for (const chat of this.entriesByChat.keys()) {
      this.entriesByChat.delete(chat);
      return;
    }
  }
}
