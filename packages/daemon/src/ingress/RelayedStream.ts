import {
  continuesStream,
  type MemoryShare,
  type RequestRoute,
  type ResponseHead,
} from "@pistachioway/kernel";
import type { AnswerBound } from "./AnswerBody.js";
import type { Attempt } from "./Attempt.js";
import { CompleteEventBuffer } from "./CompleteEventBuffer.js";
import type { RequestResponse } from "./RequestResponse.js";

const firstErrorStatus = 300;

/** The stream of a response as its caller gets it, from one upstream or from several that continue each other. */
export class RelayedStream {
  /** Head of the response that began the stream. */
  private head: ResponseHead | undefined;
  /** Set if another upstream may resume the stream. */
  private readonly eventBuffer: CompleteEventBuffer | undefined;

  private constructor(
    private readonly route: RequestRoute,
    private readonly response: RequestResponse,
    share: MemoryShare,
  ) {
    const isResumable = route.kind === "stream" && route.isResumable;
    this.eventBuffer = isResumable ? CompleteEventBuffer.create(share) : undefined;
  }

  /**
   * Creates a stream that has not begun.
   * @param route - Route of the request.
   * @param response - Response to the caller.
   * @param share - Memory that an incomplete event is kept in.
   */
  static create(route: RequestRoute, response: RequestResponse, share: MemoryShare): RelayedStream {
    return new RelayedStream(route, response, share);
  }

  /** Checks whether an upstream's response begins the stream, or goes on with it. */
  isPart(head: ResponseHead): boolean {
    const isSuccess = head.meaning === "final" && head.status < firstErrorStatus;
    const isContinuation = this.head === undefined || continuesStream(head, this.head);
    return this.route.kind === "stream" && isSuccess && isContinuation;
  }

  /**
   * Writes the head of the response, unless an earlier attempt has.
   * @returns Whether this call has begun the stream.
   */
  start({ target }: Attempt, head: ResponseHead, now: number): boolean {
    if (this.response.isStarted()) {
      return false;
    }
    this.head = head;
    this.response.startStream(head, target.getReport(now));
    return true;
  }

  /**
   * Passes on bytes that an attempt has received, and stops reading while the caller reads more slowly.
   * @returns The bound that an incomplete event exceeds; undefined when the bytes were taken.
   */
  relay(attempt: Attempt, chunk: Buffer): AnswerBound | undefined {
    const bytes = this.eventBuffer?.push(chunk) ?? chunk;
    if (typeof bytes === "string") {
      return bytes;
    }
    this.write(attempt, bytes);
    return undefined;
  }

  /** Ends the complete stream. */
  end(attempt: Attempt): void {
    this.write(attempt, this.eventBuffer?.takeIncomplete() ?? Buffer.alloc(0));
    this.response.endStream();
  }

  /**
   * Gets the id of the last event that was passed on; undefined when there is none. The next upstream sends the event
   * in which the stream broke again, from its start.
   */
  prepareContinuation(): string | undefined {
    const lastEventId = this.response.isStarted() ? this.eventBuffer?.getLastEventId() : undefined;
    this.clear();
    return lastEventId;
  }

  /** Drops the bytes of an incomplete event. */
  clear(): void {
    this.eventBuffer?.clear();
  }

  private write(attempt: Attempt, bytes: Buffer): void {
    if (bytes.length > 0 && !this.response.write(bytes)) {
      attempt.pause();
      this.response.onceDrained(() => {
        attempt.resume();
      });
    }
  }
}
