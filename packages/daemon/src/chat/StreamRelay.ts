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
 * The result of relaying one upstream body; `mixed` when it contained an event that does not
 * continue the stream, such as one of another attempt or a repeated one.
 */
export type RelayResult = "complete" | "interrupted" | "mixed";

/** The dependencies of a relay. */
export interface StreamRelayDependencies {
  /** Id of the attempt, which is the completion id of every event. */
  readonly attemptId: string;
  /** False only in a test that switches the validation of events off. */
  readonly isChecked: boolean;
  /** Writes complete events to the caller and resolves when the caller can receive more. */
  readonly write: (text: string) => Promise<void>;
}

/** Relays complete events of a stream to the caller and tracks the offset of the last one. */
export class StreamRelay {
  private lastOffset = 0;
  private lastUsage: Usage | undefined;

  private constructor(private readonly dependencies: StreamRelayDependencies) {}

  /**
   * Creates a relay at the start of a stream.
   * @param dependencies - The dependencies of the relay.
   */
  static create(dependencies: StreamRelayDependencies): StreamRelay {
    return new StreamRelay(dependencies);
  }

  /** Gets the number of tokens that were sent to the caller. */
  getOffset(): number {
    return this.lastOffset;
  }

  /** Gets the token counts, once the engine has reported them. */
  getUsage(): Usage | undefined {
    return this.lastUsage;
  }

  /**
   * Relays the events of one upstream body, from the start or after a resume.
   * @param body - Body of the upstream's response.
   */
  async relay(body: Readable): Promise<RelayResult> {
    const parser = ServerSentEventParser.create();
    try {
      for await (const bytes of body) {
        const events = getUpToTerminal(parser.addBytes(bytes as Uint8Array));
        const accepted = this.acceptConsecutive(events);
        await this.writeAll(accepted);
        if (accepted.length < events.length) {
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

  /** Gets the events before the first one that does not continue this attempt's stream. */
  private acceptConsecutive(events: readonly ServerSentEvent[]): ServerSentEvent[] {
    const rejectedIndex = events.findIndex((event) => !this.acceptIfNext(event));
    return rejectedIndex < 0 ? [...events] : events.slice(0, rejectedIndex);
  }

  /** Accepts a comment, or an event that continues this attempt's stream; returns false for any other. */
  private acceptIfNext(event: ServerSentEvent): boolean {
    if (event.id === undefined && event.data === "") {
      return true;
    }
    if (event.data === terminalData) {
      return this.lastUsage !== undefined || !this.dependencies.isChecked;
    }
    const offset = Number(event.id);
    const isNext = hasUsage(event) ? offset === this.lastOffset : offset > this.lastOffset;
    if (
      this.dependencies.isChecked &&
      (!isNext || !isOfAttempt(event.data, this.dependencies.attemptId))
    ) {
      return false;
    }
    this.lastOffset = offset;
    this.readUsage(event);
    return true;
  }

  private async writeAll(events: readonly ServerSentEvent[]): Promise<void> {
    if (events.length > 0) {
      await this.dependencies.write(events.map((event) => event.text).join(""));
    }
  }

  private readUsage(event: ServerSentEvent): void {
    if (hasUsage(event)) {
      this.lastUsage = parseUsage(event.data) ?? this.lastUsage;
    }
  }
}

/** Gets events up to the one that ends the stream; what an engine sends behind it belongs to nothing. */
function getUpToTerminal(events: readonly ServerSentEvent[]): readonly ServerSentEvent[] {
  const index = events.findIndex(({ data }) => data === terminalData);
  return index < 0 ? events : events.slice(0, index + 1);
}

/** Checks whether an event reports usage; such an event has the offset of the token before it. */
function hasUsage(event: ServerSentEvent): boolean {
  return event.data.includes('"usage"');
}

/**
 * Checks whether a response or event is JSON whose completion id is that of the attempt.
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
 * Parses the token counts of a response or event.
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
