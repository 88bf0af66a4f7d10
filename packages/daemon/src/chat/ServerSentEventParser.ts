/** A complete server-sent event. */
export interface ServerSentEvent {
  /** The event as received, with the blank line that ends it. */
  readonly text: string;
  readonly id: string | undefined;
  readonly data: string;
}

/** The data of the event that ends a complete stream. */
export const terminalData = "[DONE]";

/** Bounds of an event that is not complete; in characters, and in the pieces that it comes in. */
const maxEventLength = 1_048_576;
const maxEventPieces = 65_536;
/** An empty line behind another line; after an LF a CR alone does not count, since its LF may follow. */
const eventEnd = /\n\r?\n|\r\r\n?/;
const maxEventEndLength = 3;
const lineEnd = /\r\n|\n|\r/;

/** An event of a stream is so large that it is no event. */
export class EventTooLargeError extends Error {
  readonly code = "event-too-large";

  /** Creates the error. */
  static create(): EventTooLargeError {
    return new EventTooLargeError(`an event is longer than ${String(maxEventLength)} characters`);
  }
}

/** Splits a stream of bytes into complete server-sent events. Incomplete events are buffered. */
export class ServerSentEventParser {
  private readonly decoder = new TextDecoder("utf-8", { fatal: false });
  /** Texts of the event that is not complete. */
  private pieces: string[] = [];
  private length = 0;
  /** Last characters that may belong to the end of an event. */
  private tail = "";

  private constructor() {
    // Created through the static method.
  }

  /** Creates a parser at the start of a stream. */
  static create(): ServerSentEventParser {
    return new ServerSentEventParser();
  }

  /**
   * Adds bytes and gets the events that they complete. Throws an {@link EventTooLargeError}.
   * @param bytes - Next chunk of the stream.
   */
  addBytes(bytes: Uint8Array): ServerSentEvent[] {
    const piece = this.decoder.decode(bytes, { stream: true });
    const hasEnd = eventEnd.test(this.tail + piece);
    this.tail = (this.tail + piece.slice(1 - maxEventEndLength)).slice(1 - maxEventEndLength);
    this.addPiece(piece);
    return hasEnd ? this.takeEvents() : [];
  }

  private addPiece(piece: string): void {
    if (piece === "") {
      return;
    }
    this.pieces.push(piece);
    this.length += piece.length;
    if (this.length > maxEventLength || this.pieces.length > maxEventPieces) {
      throw EventTooLargeError.create();
    }
  }

  private takeEvents(): ServerSentEvent[] {
    const events: ServerSentEvent[] = [];
    const text = this.pieces.join("");
    let start = 0;
    for (const { 0: end, index } of text.matchAll(new RegExp(eventEnd, "g"))) {
      const next = index + end.length;
      events.push(parseEvent(text.slice(start, next)));
      start = next;
    }
    const rest = text.slice(start);
    this.tail = rest.slice(1 - maxEventEndLength);
    this.pieces = rest === "" ? [] : [rest];
    this.length = rest.length;
    return events;
  }
}

function parseEvent(text: string): ServerSentEvent {
  let id: string | undefined;
  const data: string[] = [];
  for (const line of text.split(lineEnd)) {
    if (line.startsWith("data:")) {
      data.push(line.slice("data:".length).trimStart());
    } else if (line.startsWith("id:")) {
      id = line.slice("id:".length).trim();
    }
  }
  return { text, id, data: data.join("\n") };
}
