import type { Readable } from "node:stream";
import {
  ServerSentEventParser,
  terminalData,
  type ServerSentEvent,
} from "./ServerSentEventParser.js";
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
export type RelayResult = "complete" | "interrupted" | "mixed";

/** What a relay works with. */
export interface StreamRelayDependencies {
  /** Id of the attempt, which is the id of every event's completion. */
  readonly attemptId: string;
  /** False only in a test that switches the check of answers off. */
  readonly isChecked: boolean;
  /** Writes whole events to the caller and resolves when it can take more. */
  readonly write: (text: string) => Promise<void>;
}

/** Relays whole events of a stream to the caller, and knows how far it came. */
export class StreamRelay {
  private lastOffset = 0;
  private lastUsage: Usage | undefined;

  private constructor(private readonly parts: StreamRelayDependencies) {}

  /**
   * Creates a relay at the start of a stream.
   * @param parts - What the relay works with.
   */
  static create(parts: StreamRelayDependencies): StreamRelay {
    return new StreamRelay(parts);
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
  async relay(body: Readable): Promise<RelayResult> {
    const splitter = ServerSentEventParser.create();
    try {
      for await (const octets of body) {
        const events = splitter.addBytes(octets as Uint8Array);
        const taken = this.acceptConsecutive(events);
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
  private acceptConsecutive(events: readonly ServerSentEvent[]): ServerSentEvent[] {
    const foreign = events.findIndex((event) => !this.acceptIfNext(event));
    return foreign < 0 ? [...events] : events.slice(0, foreign);
  }

  /** Takes an event that continues the stream; false when it cannot be of this attempt. */
  private acceptIfNext(event: ServerSentEvent): boolean {
    if (event.data === terminalData) {
      return this.lastUsage !== undefined || !this.parts.isChecked;
    }
    const offset = Number(event.id);
    const isNext = hasUsage(event) ? offset === this.lastOffset : offset > this.lastOffset;
    if (this.parts.isChecked && (!isNext || !isOfAttempt(event.data, this.parts.attemptId))) {
      return false;
    }
    this.lastOffset = offset;
    this.readUsage(event);
    return true;
  }

  private async writeAll(events: readonly ServerSentEvent[]): Promise<void> {
    if (events.length > 0) {
      await this.parts.write(events.map((event) => event.text).join(""));
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
