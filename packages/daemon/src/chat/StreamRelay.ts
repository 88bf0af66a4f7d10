import type { Readable } from "node:stream";
import { EventSplitter, terminalData, type ServerSentEvent } from "./EventSplitter.js";
import { usageHolderSchema } from "./schema.js";

/** Token counts that an engine reported. */
export interface Usage {
  readonly promptTokens: number;
  readonly cachedTokens: number;
}

/**
 * How the reading of one upstream body ended; `mixed` when an event of another attempt, or one that
 * was passed on before, came up.
 */
export type RelayEnd = "complete" | "interrupted" | "mixed";

/** Relays whole events of a stream to the caller, and knows how far it came. */
export class StreamRelay {
  private lastOffset = 0;
  private lastUsage: Usage | undefined;

  private constructor(
    private readonly attemptId: string,
    private readonly write: (text: string) => Promise<void>,
  ) {}

  /**
   * Creates a relay at the start of a stream.
   * @param attemptId - Id of the attempt, which is the id of every event's completion.
   * @param write - Writes whole events to the caller and resolves when it can take more.
   */
  static create(attemptId: string, write: (text: string) => Promise<void>): StreamRelay {
    return new StreamRelay(attemptId, write);
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
        const taken = this.takeWhileOwn(events);
        await this.writeAll(taken);
        if (taken.length < events.length) {
          return "mixed";
        }
        if (events.some((event) => event.data === terminalData)) {
          return "complete";
        }
      }
    } catch {
      return "interrupted";
    }
    return "interrupted";
  }

  /** Takes the events up to the first that does not continue this attempt's stream. */
  private takeWhileOwn(events: readonly ServerSentEvent[]): ServerSentEvent[] {
    const foreign = events.findIndex((event) => !this.takeOwn(event));
    return foreign < 0 ? [...events] : events.slice(0, foreign);
  }

  /** Takes an event that continues the stream; false when it cannot be of this attempt. */
  private takeOwn(event: ServerSentEvent): boolean {
    if (event.data === terminalData) {
      return this.lastUsage !== undefined;
    }
    const offset = Number(event.id);
    const isNext = hasUsage(event) ? offset === this.lastOffset : offset > this.lastOffset;
    if (!isNext || !isOfAttempt(event.data, this.attemptId)) {
      return false;
    }
    this.lastOffset = offset;
    this.readUsage(event);
    return true;
  }

  private async writeAll(events: readonly ServerSentEvent[]): Promise<void> {
    if (events.length > 0) {
      await this.write(events.map((event) => event.text).join(""));
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
 * Tells whether an answer or event is JSON whose completion id is that of the attempt.
 * @param text - JSON text.
 * @param attemptId - Id of the attempt.
 */
export function isOfAttempt(text: string, attemptId: string): boolean {
  try {
    return (JSON.parse(text) as { id?: unknown } | null)?.id === attemptId;
  } catch {
    return false;
  }
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
