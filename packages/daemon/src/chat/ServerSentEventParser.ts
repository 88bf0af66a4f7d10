/** A complete server-sent event. */
export interface ServerSentEvent {
  /** The event as received, with the blank line that ends it. */
  readonly text: string;
  readonly id: string | undefined;
  readonly data: string;
}

/** The data of the event that ends a complete stream. */
export const terminalData = "[DONE]";

/** Splits a stream of bytes into complete server-sent events. Incomplete events are buffered. */
export class ServerSentEventParser {
  private readonly decoder = new TextDecoder("utf-8", { fatal: false });
  private unparsedText = "";

  private constructor() {
    // Created through the static method.
  }

  /** Creates a parser at the start of a stream. */
  static create(): ServerSentEventParser {
    return new ServerSentEventParser();
  }

  /**
   * Adds bytes and gets the events that they complete.
   * @param bytes - Next chunk of the stream.
   */
  addBytes(bytes: Uint8Array): ServerSentEvent[] {
    this.unparsedText += this.decoder.decode(bytes, { stream: true });
    const events: ServerSentEvent[] = [];
    let end = this.unparsedText.indexOf("\n\n");
    while (end >= 0) {
      events.push(parseEvent(this.unparsedText.slice(0, end + 2)));
      this.unparsedText = this.unparsedText.slice(end + 2);
      end = this.unparsedText.indexOf("\n\n");
    }
    return events;
  }
}

function parseEvent(text: string): ServerSentEvent {
  let id: string | undefined;
  const data: string[] = [];
  for (const line of text.split("\n")) {
    if (line.startsWith("data:")) {
      data.push(line.slice("data:".length).trimStart());
    } else if (line.startsWith("id:")) {
      id = line.slice("id:".length).trim();
    }
  }
  return { text, id, data: data.join("\n") };
}
