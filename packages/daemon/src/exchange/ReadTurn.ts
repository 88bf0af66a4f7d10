/** How a turn is counted, paused and resumed. */
export interface ReadTurnOptions {
  /** Reads the monotonic clock, in milliseconds. */
  readonly getNow: () => number;
  readonly onPause: (turn: ReadTurn) => void;
  readonly onResume: () => void;
}

/** Time in which a connection may bring what its turn allows without being paused. */
const turnMilliseconds = 10;
/** Bytes that a turn allows. */
const turnBytes = 65_536;
/** Bytes that the work for one piece of any size is counted as. */
const bytesPerPiece = 256;

/**
 * Counts what the answer on one connection brings, and pauses it when that is more than its turn allows. Turns follow one
 * another until the answer ends.
 */
export class ReadTurn {
  private endsAt = -Infinity;
  private usedBytes = 0;
  /** Whether the answer has ended. */
  private isOver = false;
  /** Whether the connection is paused until its next turn. */
  private isWaiting = false;

  private constructor(private readonly options: ReadTurnOptions) {}

  /**
   * Creates a turn of which nothing is used.
   * @param options - How it is counted, paused and resumed.
   */
  static create(options: ReadTurnOptions): ReadTurn {
    return new ReadTurn(options);
  }

  /**
   * Counts a piece that was read, and pauses the connection when its turn is used up.
   * @param bytes - Size of the piece.
   */
  addPiece(bytes: number): void {
    if (this.isOver || this.isWaiting) {
      return;
    }
    const now = this.options.getNow();
    if (now >= this.endsAt) {
      this.usedBytes = 0;
      this.endsAt = now + turnMilliseconds;
    }
    this.usedBytes += bytesPerPiece + bytes;
    if (this.usedBytes >= turnBytes) {
      this.isWaiting = true;
      this.options.onPause(this);
    }
  }

  /**
   * Begins the next turn.
   * @returns False when the connection has nothing more to read.
   */
  resume(): boolean {
    this.isWaiting = false;
    this.usedBytes = 0;
    if (!this.isOver) {
      this.options.onResume();
    }
    return !this.isOver;
  }

  /** Ends the turn with its connection's answer. */
  end(): void {
    this.isOver = true;
  }
}
