/** Longest end of an event, which is two line ends. */
const maxEndLength = 4;
const eventEnd = /\n\r?\n$/;

/** Tells whether a stream of server-sent events is at the end of an event. */
export class EventBoundary {
  private tail = Buffer.alloc(0);

  private constructor() {
    // Created through the static method.
  }

  /** Creates the boundary of a stream of which nothing was received. */
  static create(): EventBoundary {
    return new EventBoundary();
  }

  /**
   * Adds bytes of the stream.
   * @param chunk - Next bytes.
   */
  push(chunk: Buffer): void {
    const bytes = chunk.length >= maxEndLength ? chunk : Buffer.concat([this.tail, chunk]);
    this.tail = Buffer.from(bytes.subarray(-maxEndLength));
  }

  /** Checks whether the last event is complete; false for a stream without events. */
  isAtEnd(): boolean {
    return eventEnd.test(this.tail.toString("latin1"));
  }
}
