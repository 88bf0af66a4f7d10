import { BodyBuffer, type MemoryShare } from "@pistachioway/kernel";
import type { AnswerFault } from "./AnswerBody.js";
import { EventBoundary } from "./EventBoundary.js";
import { EventPosition } from "./EventPosition.js";

/** Bounds of one event that is not complete. */
const eventLimits = { maxBytes: 1_048_576, maxPieces: 65_536 };
const empty = Buffer.alloc(0);
const byteOrderMark = Buffer.from([0xef, 0xbb, 0xbf]);

/**
 * Buffers a stream of server-sent events and releases only complete events, so that a stream that
 * breaks inside an event can be resumed at another upstream.
 */
export class CompleteEventBuffer {
  private readonly incomplete: BodyBuffer;
  private boundary = EventBoundary.create();
  private readonly position = EventPosition.create();
  /** Whether events were released. */
  private hasBegun = false;
  /** Whether the next event is the first one of an upstream that goes on with the stream. */
  private isContinuing = false;

  private constructor(share: MemoryShare) {
    this.incomplete = BodyBuffer.create(eventLimits, share);
  }

  /**
   * Creates an empty buffer.
   * @param share - Memory that the incomplete event is kept in.
   */
  static create(share: MemoryShare): CompleteEventBuffer {
    return new CompleteEventBuffer(share);
  }

  /**
   * Adds bytes of the stream and gets the events that are complete now. Each byte is looked at once.
   * @param chunk - Next bytes.
   * @returns The complete events, or why none are released.
   */
  push(chunk: Buffer): Buffer | AnswerFault {
    const end = this.boundary.push(chunk);
    const completed = end === 0 ? empty : this.withoutMark(this.complete(chunk.subarray(0, end)));
    const bound = end < chunk.length ? this.incomplete.push(chunk.subarray(end)) : undefined;
    if (bound !== undefined) {
      return bound === "memory" ? "memory" : "event";
    }
    const isNext = completed.length === 0 || this.position.add(completed);
    return isNext ? completed : "misplaced";
  }

  /** Gets the bytes after the last complete event, and removes them from the buffer. */
  takeIncomplete(): Buffer {
    const rest = this.incomplete.toBuffer();
    this.clear();
    return rest;
  }

  /** Removes the bytes after the last complete event. */
  clear(): void {
    this.incomplete.clear();
    this.boundary = EventBoundary.create();
  }

  /** Gets the id of the last complete event that has one. */
  getLastEventId(): string | undefined {
    return this.position.getLastEventId();
  }

  /** Checks whether another upstream can be told where to go on. */
  isResumable(): boolean {
    return this.position.isResumable();
  }

  /**
   * Expects that an upstream goes on after an event, and removes the bytes after the last complete one.
   * @param id - Id of the event; undefined at the start of the stream.
   */
  expectAfter(id: string | undefined): void {
    this.clear();
    this.isContinuing = this.hasBegun;
    this.position.expectAfter(id);
  }

  /** Gets the kept bytes and those that complete their event. */
  private complete(bytes: Buffer): Buffer {
    const completed =
      this.incomplete.length === 0 ? bytes : Buffer.concat([this.incomplete.toBuffer(), bytes]);
    if (this.incomplete.length > 0) {
      this.incomplete.clear();
    }
    return completed;
  }

  /** Removes the byte order mark with which an upstream begins, where it would be in the middle of the caller's stream. */
  private withoutMark(events: Buffer): Buffer {
    const hasMark =
      this.isContinuing && events.subarray(0, byteOrderMark.length).equals(byteOrderMark);
    this.hasBegun = true;
    this.isContinuing = false;
    return hasMark ? events.subarray(byteOrderMark.length) : events;
  }
}
