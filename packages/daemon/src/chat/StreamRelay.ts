import type { Readable } from "node:stream";
import { EventSplitter, terminalData, type ServerSentEvent } from "./EventSplitter.js";
import { usageHolderSchema } from "./schema.js";

/** Token counts that an engine reported. */
export interface Usage {
  readonly promptTokens: number;
  readonly cachedTokens: number;
}

/** How the reading of one upstream body ended. */
export type RelayEnd = "complete" | "interrupted";

/** Relays whole events of a stream to the caller, and knows how far it came. */
export class StreamRelay {
  private lastOffset = 0;
  private lastUsage: Usage | undefined;

  private constructor(private readonly write: (text: string) => Promise<void>) {}

  /**
   * Creates a relay at the start of a stream.
   * @param write - Writes whole events to the caller and resolves when it can take more.
   */
  static create(write: (text: string) => Promise<void>): StreamRelay {
    return new StreamRelay(write);
  }

  /** Gets the number of tokens that were passed on. */
  getOffset(): number {
    return this.lastOffset;
  }

  /** Gets the token counts, once the engine has reported them. */
  getUsage(): Usage | undefined {
    return this.lastUsage;
  }

  /**
   * Relays the events of one upstream body, from the start or after a resume.
   * @param body - Body of the upstream's answer.
   */
  async relay(body: Readable): Promise<RelayEnd> {
    const splitter = EventSplitter.create();
    try {
      for await (const octets of body) {
        const events = splitter.addOctets(octets as Uint8Array);
        await this.writeNew(events);
        if (events.some((event) => event.data === terminalData)) {
          return "complete";
        }
      }
    } catch {
      return "interrupted";
    }
    return "interrupted";
  }

  /** Writes events that were not passed on before; a resumed stream may repeat some. */
  private async writeNew(events: readonly ServerSentEvent[]): Promise<void> {
    const isNew = (event: ServerSentEvent): boolean => {
      const offset = event.id === undefined ? undefined : Number(event.id);
      if (offset === undefined) {
        return true;
      }
      const isAhead = offset > this.lastOffset;
      this.lastOffset = Math.max(this.lastOffset, offset);
      return isAhead || hasUsage(event);
    };
    const fresh = events.filter(isNew);
    fresh.forEach((event) => {
      this.readUsage(event);
    });
    if (fresh.length > 0) {
      await this.write(fresh.map((event) => event.text).join(""));
    }
  }

  private readUsage(event: ServerSentEvent): void {
    if (hasUsage(event)) {
      this.lastUsage = parseUsage(event.data) ?? this.lastUsage;
    }
  }
}

/** An event that reports usage carries the offset of the token before it. */
function hasUsage(event: ServerSentEvent): boolean {
  return event.data.includes('"usage"');
}

/**
 * Reads the token counts of an answer or event.
 * @param text - JSON text.
 */
export function parseUsage(text: string): Usage | undefined {
  try {
    const holder = usageHolderSchema.safeParse(JSON.parse(text));
    if (!holder.success) {
      return undefined;
    }
    const { prompt_tokens: promptTokens, cached_tokens: cachedTokens } = holder.data.usage;
    return { promptTokens, cachedTokens };
  } catch {
    return undefined;
  }
}
