import type { Socket } from "node:net";

/** One direction of a connection: forwards, buffers or discards bytes. */
export class Pipe {
  private readonly bufferedBytes: Buffer[] = [];
  private isBlocked = false;
  private isDiscarding = false;
  private hasSourceEnded = false;
  private hasDiscarded = false;

  private constructor(
    private readonly source: Socket,
    private sink: Socket,
  ) {}

  /**
   * Creates a pipe that forwards everything.
   * @param source - Socket that bytes are read from.
   * @param sink - Socket that bytes are written to.
   */
  static create(source: Socket, sink: Socket): Pipe {
    return new Pipe(source, sink);
  }

  /** Checks whether bytes or the end of the stream were discarded. */
  hasLostBytes(): boolean {
    return this.hasDiscarded;
  }

  /** Gets the socket that bytes are written to. */
  getSink(): Socket {
    return this.sink;
  }

  /**
   * Writes all further bytes to another socket.
   * @param sink - Socket that bytes are written to.
   */
  setSink(sink: Socket): void {
    this.sink = sink;
  }

  /**
   * Forwards, buffers or discards bytes.
   * @param bytes - Bytes from the source.
   */
  push(bytes: Buffer): void {
    if (bytes.length === 0) {
      return;
    }
    if (this.isDiscarding) {
      this.hasDiscarded = true;
    } else if (this.isBlocked) {
      this.bufferedBytes.push(bytes);
    } else {
      this.write(bytes);
    }
  }

  /** Forwards the end of the stream, after the buffered bytes. */
  end(): void {
    this.hasSourceEnded = true;
    if (this.isDiscarding) {
      this.hasDiscarded = true;
    } else if (!this.isBlocked) {
      this.sink.end();
    }
  }

  /** Buffers further bytes and pauses the source. */
  block(): void {
    this.isBlocked = true;
    this.source.pause();
  }

  /** Forwards the buffered bytes and all further ones. */
  unblock(): void {
    this.isBlocked = false;
    for (const bytes of this.bufferedBytes.splice(0)) {
      this.push(bytes);
    }
    if (this.hasSourceEnded) {
      this.end();
    }
    this.source.resume();
  }

  /** Discards all further bytes; this can't be undone. */
  discard(): void {
    this.isDiscarding = true;
    this.source.resume();
  }

  private write(bytes: Buffer): void {
    if (this.sink.destroyed || this.sink.write(bytes)) {
      return;
    }
    this.source.pause();
    this.sink.once("drain", () => {
      if (!this.isBlocked) {
        this.source.resume();
      }
    });
  }
}
