const newline = 0x0a;
const empty = Buffer.alloc(0);

/**
 * Buffers a stream of server-sent events and releases only complete events, so that a stream that
 * breaks inside an event can be resumed at another upstream.
 */
export class CompleteEventBuffer {
  private incomplete: Buffer = empty;
  private lastCompleted: Buffer = empty;
  private lastEventId: string | undefined;

  private constructor() {
    // Created through the static method.
  }

  /** Creates an empty buffer. */
  static create(): CompleteEventBuffer {
    return new CompleteEventBuffer();
  }

  /**
   * Adds bytes of the stream and gets the events that are complete now.
   * @param chunk - Next bytes.
   */
  push(chunk: Buffer): Buffer {
    const bytes = this.incomplete.length === 0 ? chunk : Buffer.concat([this.incomplete, chunk]);
    const end = findLastEventEnd(bytes);
    this.incomplete = end === bytes.length ? empty : bytes.subarray(end);
    const completed = end === bytes.length ? bytes : bytes.subarray(0, end);
    if (completed.length > 0) {
      this.lastCompleted = completed;
    }
    return completed;
  }

  /** Gets the bytes after the last complete event, and removes them from the buffer. */
  takeIncomplete(): Buffer {
    const rest = this.incomplete;
    this.incomplete = empty;
    return rest;
  }

  /** Gets the id of the last complete event that has one. */
  getLastEventId(): string | undefined {
    const text = this.lastCompleted.toString("latin1");
    const ids = [...text.matchAll(/^id: ?(.*)$/gm)];
    this.lastEventId = ids.at(-1)?.[1]?.trim() ?? this.lastEventId;
    this.lastCompleted = empty;
    return this.lastEventId;
  }
}

/** Finds the end of the last complete event, which an empty line ends; 0 when there is none. */
function findLastEventEnd(bytes: Buffer): number {
  for (let index = bytes.length - 1; index > 0; index -= 1) {
    if (bytes[index] !== newline) {
      continue;
    }
    const before = bytes[index - 1];
    if (before === newline || (before === 0x0d && bytes[index - 2] === newline)) {
      return index + 1;
    }
  }
  return 0;
}
