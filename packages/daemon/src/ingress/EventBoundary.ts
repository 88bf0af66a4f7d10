const newline = 0x0a;
const carriageReturn = 0x0d;

/**
 * Finds the ends of server-sent events in a stream that arrives in pieces. An empty line ends an event. Lines end with LF, CR
 * LF or CR; after an LF a CR does not end an event by itself, since its LF may be in the next piece.
 */
export class EventBoundary {
  /** The last byte and the one before it; 0 at the start. */
  private last = 0;
  private beforeLast = 0;
  private isAtEventEnd = false;

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
   * @returns Number of its bytes up to the end of the last complete event; 0 when none ends in it.
   */
  push(chunk: Buffer): number {
    const end = this.findLastEnd(chunk);
    if (chunk.length > 0) {
      this.isAtEventEnd = end === chunk.length;
      this.beforeLast = chunk.at(-2) ?? this.last;
      this.last = chunk.at(-1) ?? 0;
    }
    return end;
  }

  /** Checks whether the last event is complete; false for a stream without events. */
  isAtEnd(): boolean {
    return this.isAtEventEnd;
  }

  private findLastEnd(chunk: Buffer): number {
    let lineFeed = chunk.lastIndexOf(newline);
    let carriage = chunk.lastIndexOf(carriageReturn);
    while (lineFeed >= 0 || carriage >= 0) {
      const index = Math.max(lineFeed, carriage);
      if (this.isEmptyLine(chunk, index)) {
        return index + 1;
      }
      if (index === lineFeed) {
        lineFeed = findBefore(chunk, newline, index);
      } else {
        carriage = findBefore(chunk, carriageReturn, index);
      }
    }
    return 0;
  }

  /** Checks whether nothing is between the end of a line and that of the line before. */
  private isEmptyLine(chunk: Buffer, index: number): boolean {
    const before = this.getByte(chunk, index - 1);
    if (chunk[index] === carriageReturn) {
      return before === carriageReturn;
    }
    const isPair = before === carriageReturn;
    const lineEnd = isPair ? this.getByte(chunk, index - 2) : before;
    return lineEnd === newline || (isPair && lineEnd === carriageReturn);
  }

  /** Gets a byte of a chunk; at a negative index, one that came before it. */
  private getByte(chunk: Buffer, index: number): number {
    if (index >= 0) {
      return chunk[index] ?? 0;
    }
    return index === -1 ? this.last : this.beforeLast;
  }
}

function findBefore(chunk: Buffer, byte: number, index: number): number {
  return index === 0 ? -1 : chunk.lastIndexOf(byte, index - 1);
}
