import type { Socket } from "node:net";

/** One direction of a connection: it passes bytes, keeps them back, or discards them. */
export class Pipe {
  private readonly blockedBytes: Buffer[] = [];
  private isBlocked = false;
  private isDiscarding = false;
  private hasSourceEnded = false;
  private hasLost = false;

  private constructor(
    private readonly source: Socket,
    private sink: Socket,
  ) {}

  /**
   * Creates a pipe that passes everything.
   * @param source - Socket that bytes come from.
   * @param sink - Socket that bytes go to.
   */
  static create(source: Socket, sink: Socket): Pipe {
    return new Pipe(source, sink);
  }

  /** Whether bytes or the end of the stream were discarded. */
  hasLostBytes(): boolean {
    return this.hasLost;
  }

  /** Gets the socket that bytes go to. */
  getSink(): Socket {
    return this.sink;
  }

  /**
   * Sends all further bytes to another socket.
   * @param sink - Socket that bytes go to.
   */
  setSink(sink: Socket): void {
    this.sink = sink;
  }

  /**
   * Passes bytes on, keeps them or discards them.
   * @param bytes - Bytes from the source.
   */
  push(bytes: Buffer): void {
    if (bytes.length === 0) {
      return;
    }
    if (this.isDiscarding) {
      this.hasLost = true;
    } else if (this.isBlocked) {
      this.blockedBytes.push(bytes);
    } else {
      this.write(bytes);
    }
  }

  /** Passes the end of the stream on, after bytes that are kept back. */
  end(): void {
    this.hasSourceEnded = true;
    if (this.isDiscarding) {
      this.hasLost = true;
    } else if (!this.isBlocked) {
      this.sink.end();
    }
  }

  /** Keeps further bytes back. */
  block(): void {
    this.isBlocked = true;
    this.source.pause();
  }

  /** Passes what was kept back and all further bytes. */
  unblock(): void {
    this.isBlocked = false;
    for (const bytes of this.blockedBytes.splice(0)) {
      this.push(bytes);
    }
    if (this.hasSourceEnded) {
      this.end();
    }
    this.source.resume();
  }

  /** Discards all further bytes for good. */
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
