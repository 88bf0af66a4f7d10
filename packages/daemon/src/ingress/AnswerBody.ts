import {
  BodyBuffer,
  type BodyBound,
  type MemoryShare,
  type ResponseHead,
} from "@pistachioway/kernel";

/** What an answer exceeds: a bound of its body, or that of one event of its stream. */
export type AnswerBound = BodyBound | "event";

/** Why an answer is not read to its end: it exceeds a bound, or its stream does not go on after the last event. */
export type AnswerFault = AnswerBound | "misplaced";

const answerLimits = { maxBytes: 8_388_608, maxPieces: 65_536 };
/** Bounds of the body of an answer that is never passed on, which is read so that its connection can be used again. */
const discardedLimits = { maxBytes: 65_536, maxPieces: 1_024 };

const faultDescriptions: Readonly<Record<AnswerFault, string>> = {
  bytes: "the answer is too large",
  pieces: "the answer has too many pieces",
  memory: "the memory for bodies is used up",
  event: "an event of the stream is too large",
  misplaced: "the stream did not go on after its last event",
};

/**
 * Describes why an answer was not read to its end.
 * @param fault - What is wrong with it.
 */
export function describeFault(fault: AnswerFault): string {
  return faultDescriptions[fault];
}

/** The body of an answer that is passed on only when it is complete. */
export class AnswerBody {
  private buffer: BodyBuffer | undefined;
  private discardedBytes = 0;
  private discardedPieces = 0;
  /** Whether the body is being passed on, so that its memory is in use until the caller has it. */
  private isTaken = false;

  private constructor(private readonly share: MemoryShare) {}

  /**
   * Creates an empty body.
   * @param share - Memory that it is kept in.
   */
  static create(share: MemoryShare): AnswerBody {
    return new AnswerBody(share);
  }

  /**
   * Adds a piece.
   * @param head - Head of the answer.
   * @param piece - Bytes of its body.
   * @returns The bound that the answer exceeds; undefined when the piece was added.
   */
  push({ meaning }: ResponseHead, piece: Buffer): AnswerBound | undefined {
    if (meaning === "refusal" || meaning === "unproven") {
      return this.discard(piece);
    }
    this.buffer ??= BodyBuffer.create(answerLimits, this.share);
    return this.buffer.push(piece);
  }

  /** Gets the whole body to pass it on; its memory stays in use until the body is cleared. */
  take(): Buffer {
    this.isTaken = true;
    this.share.pin();
    return this.buffer?.toBuffer() ?? Buffer.alloc(0);
  }

  /** Drops the body, unless it is being passed on. */
  clearUnused(): void {
    if (!this.isTaken) {
      this.clear();
    }
  }

  /** Drops the body. */
  clear(): void {
    this.buffer = undefined;
    this.share.release();
    this.discardedBytes = 0;
    this.discardedPieces = 0;
  }

  private discard(piece: Buffer): AnswerBound | undefined {
    this.discardedBytes += piece.length;
    this.discardedPieces += 1;
    if (this.discardedBytes > discardedLimits.maxBytes) {
      return "bytes";
    }
    return this.discardedPieces > discardedLimits.maxPieces ? "pieces" : undefined;
  }
}
