const newline = 0x0a;
const empty = Buffer.alloc(0);

/**
 * Lets only whole events of a stream pass, so that a stream that breaks inside an event can go on
 * at another upstream.
 */
export class EventGate {
  private held: Buffer = empty;
  private lastPassed: Buffer = empty;
  private lastId: string | undefined;

  private constructor() {
    // Created through the static method.
  }

  /** Creates a gate that has passed nothing. */
  static create(): EventGate {
    return new EventGate();
  }

  /**
   * Takes bytes of the stream and gets the whole events that they complete.
   * @param chunk - Next bytes.
   */
  pass(chunk: Buffer): Buffer {
    const bytes = this.held.length === 0 ? chunk : Buffer.concat([this.held, chunk]);
    const end = findLastEventEnd(bytes);
    this.held = end === bytes.length ? empty : bytes.subarray(end);
    const passed = end === bytes.length ? bytes : bytes.subarray(0, end);
    if (passed.length > 0) {
      this.lastPassed = passed;
    }
    return passed;
  }

  /** Gets what follows the last whole event, and forgets it. */
  takeRest(): Buffer {
    const rest = this.held;
    this.held = empty;
    return rest;
  }

  /** Gets the id of the last event that has passed. */
  getLastId(): string | undefined {
    const text = this.lastPassed.toString("latin1");
    const ids = [...text.matchAll(/^id: ?(.*)$/gm)];
    this.lastId = ids.at(-1)?.[1]?.trim() ?? this.lastId;
    this.lastPassed = empty;
    return this.lastId;
  }
}

/** Finds the end of the last event: an empty line ends it. */
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
