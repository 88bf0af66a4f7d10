import type { MemoryShare } from "./MemoryShare.js";

/** What keeps a body from growing: its own bounds, or the memory budget of the process. */
export type BodyBound = "bytes" | "pieces" | "memory";

/** Bounds of one body. */
export interface BodyLimits {
  readonly maxBytes: number;
  /** Number of pieces; each costs time, whatever its size. */
  readonly maxPieces: number;
}

const firstBlockBytes = 1_024;
const maxBlockBytes = 65_536;

/**
 * Keeps a body that arrives in pieces. They are copied into blocks, so that it takes about as much memory as it has
 * bytes, whatever the size of the pieces.
 */
export class BodyBuffer {
  private readonly blocks: Buffer[] = [];
  /** Bytes used of the last block. */
  private lastBlockUsed = 0;
  private byteCount = 0;
  private pieceCount = 0;

  private constructor(
    private readonly limits: BodyLimits,
    private readonly share: MemoryShare,
  ) {}

  /**
   * Creates an empty buffer.
   * @param limits - Bounds of the body.
   * @param share - Memory that its blocks are taken from.
   */
  static create(limits: BodyLimits, share: MemoryShare): BodyBuffer {
    return new BodyBuffer(limits, share);
  }

  /** Number of bytes that were added. */
  get length(): number {
    return this.byteCount;
  }

  /**
   * Adds a piece.
   * @param piece - Bytes to copy.
   * @returns The bound that the piece exceeds, after which the buffer is of no use; undefined when it was added.
   */
  push(piece: Uint8Array): BodyBound | undefined {
    this.byteCount += piece.length;
    this.pieceCount += 1;
    if (this.byteCount > this.limits.maxBytes) {
      return "bytes";
    }
    if (this.pieceCount > this.limits.maxPieces) {
      return "pieces";
    }
    return this.copy(piece) ? undefined : "memory";
  }

  /** Gets the whole body. */
  toBuffer(): Buffer {
    const last = this.blocks.at(-1)?.subarray(0, this.lastBlockUsed);
    if (last === undefined) {
      return Buffer.alloc(0);
    }
    return this.blocks.length === 1 ? last : Buffer.concat([...this.blocks.slice(0, -1), last]);
  }

  /** Drops the bytes, and returns their memory. */
  clear(): void {
    this.blocks.length = 0;
    this.lastBlockUsed = 0;
    this.byteCount = 0;
    this.pieceCount = 0;
    this.share.release();
  }

  private copy(piece: Uint8Array): boolean {
    let copied = 0;
    while (copied < piece.length) {
      const block = this.getBlock(piece.length - copied);
      if (block === undefined) {
        return false;
      }
      const part = piece.subarray(copied, copied + block.length - this.lastBlockUsed);
      block.set(part, this.lastBlockUsed);
      this.lastBlockUsed += part.length;
      copied += part.length;
    }
    return true;
  }

  /** Gets the last block, or a new one when it is full; undefined without memory for it. */
  private getBlock(neededBytes: number): Buffer | undefined {
    const last = this.blocks.at(-1);
    if (last !== undefined && this.lastBlockUsed < last.length) {
      return last;
    }
    const bytes = Math.min(
      maxBlockBytes,
      Math.max(neededBytes, last === undefined ? firstBlockBytes : 2 * last.length),
    );
    if (!this.share.take(bytes)) {
      return undefined;
    }
    const block = Buffer.allocUnsafe(bytes);
    this.blocks.push(block);
    this.lastBlockUsed = 0;
    return block;
  }
}
