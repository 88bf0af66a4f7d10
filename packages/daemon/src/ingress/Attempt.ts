import { isEventStream, type ResponseHead } from "@pistachioway/kernel";
import {
  allowsBody,
  type EndEvidence,
  type Exchange,
  type ExchangeListener,
} from "../exchange/index.js";
import type { AttemptTarget } from "./AttemptTarget.js";
import { EventBoundary } from "./EventBoundary.js";

/** One attempt to send a request to one target. */
export class Attempt {
  /** Response head, once it has been received. */
  head: ResponseHead | undefined;
  /** When bytes were last received, or else when the request was sent; monotonic milliseconds. */
  lastReceivedAt = 0;
  /** When the first byte of the body was received; monotonic milliseconds. */
  firstBodyByteAt: number | undefined;
  /** When the response head was received; monotonic milliseconds. */
  private headAt = Infinity;
  private isStreaming = false;
  /** Whether the request asks for the rest of a stream, which may have no events left. */
  private isContinuation = false;
  private readonly boundary = EventBoundary.create();
  private exchange: Exchange | undefined;

  private constructor(
    readonly target: AttemptTarget,
    private readonly isHeadOnly: boolean,
  ) {}

  /**
   * Creates an attempt that is not sent yet.
   * @param target - Where the request is sent.
   * @param isHeadOnly - Whether the request's method allows no response body.
   */
  static create(target: AttemptTarget, isHeadOnly: boolean): Attempt {
    return new Attempt(target, isHeadOnly);
  }

  /**
   * Sends the request.
   * @param now - Current time, in monotonic milliseconds.
   * @param lastEventId - Id of the last event that the caller has received.
   * @param listener - Receives the response or the failure.
   */
  send(now: number, lastEventId: string | undefined, listener: ExchangeListener): void {
    this.lastReceivedAt = now;
    this.isContinuation = lastEventId !== undefined;
    this.exchange = this.target.send(lastEventId, listener);
  }

  /** Checks whether the request may have reached the upstream. */
  mayHaveRun(): boolean {
    return this.exchange?.mayHaveRun() ?? false;
  }

  /**
   * Records the response head.
   * @param head - The head.
   * @param now - Time of its arrival.
   */
  recordHead(head: ResponseHead, now: number): void {
    this.head = head;
    this.headAt = now;
    this.recordReceivedBytes(now);
    this.target.recordHead(head, now);
    if (head.meaning === "final" && this.endsWithConnection()) {
      this.target.watchProcess();
    }
  }

  /**
   * Finds out whether the process that sent the answer goes on after the end of its connection.
   * @param earliestArrival - Earliest instant at which something may have come that this process reads now.
   */
  checkProcess(earliestArrival: number): Promise<EndEvidence> {
    const earliestEnd = Math.min(earliestArrival, this.exchange?.getEarliestEnd() ?? -Infinity);
    return this.target.checkProcess({ startedAt: this.headAt, earliestEnd });
  }

  /** Records that bytes of the response were received. */
  recordReceivedBytes(now: number): void {
    this.lastReceivedAt = now;
    this.target.recordReceivedBytes(now);
  }

  /**
   * Records that bytes of the response's body were received.
   * @param chunk - The bytes.
   * @param now - Time of their arrival.
   */
  recordBody(chunk: Buffer, now: number): void {
    this.firstBodyByteAt ??= now;
    if (this.isStreaming) {
      this.boundary.push(chunk);
    }
    this.recordReceivedBytes(now);
  }

  /**
   * Checks whether a stream was broken off although its connection was closed in order: without
   * framing only an incomplete event shows it.
   */
  isBrokenOff(): boolean {
    const isEmpty = this.firstBodyByteAt === undefined;
    const mayEnd = this.boundary.isAtEnd() || (isEmpty && this.isContinuation);
    return this.isUnframedStream() && !mayEnd;
  }

  /** Checks whether a stream of events ends with bytes that are no event, although its upstream has marked its end. */
  endsInsideEvent(): boolean {
    const hasEvents = this.isStreaming && this.firstBodyByteAt !== undefined;
    return (
      hasEvents && !this.boundary.isAtEnd() && this.head !== undefined && isEventStream(this.head)
    );
  }

  /**
   * Checks whether nothing but the end of the connection marks the end of the response, so that a crash of its sender looks
   * like that, even before the first byte of the body.
   */
  endsWithConnection(): boolean {
    const { head } = this;
    return head?.isFramed === false && allowsBody(head.status, this.isHeadOnly);
  }

  /** Records that the response is a stream. */
  startStream(): void {
    this.isStreaming = true;
    this.target.startStream();
  }

  /** Records the end of the attempt. */
  finish(): void {
    this.target.finish(this.isStreaming);
  }

  /** Cancels the request by closing its connection, which the upstream notices. */
  cancel(): void {
    this.exchange?.cancel();
  }

  /** Stops reading the response until resumed. */
  pause(): void {
    this.exchange?.pause();
  }

  /** Continues to read the response. */
  resume(): void {
    this.exchange?.resume();
  }

  private isUnframedStream(): boolean {
    return this.isStreaming && this.endsWithConnection();
  }
}
