import {
  continuesStream,
  type MemoryShare,
  type RequestRoute,
  type ResponseHead,
} from "@pistachioway/kernel";
import type { AnswerFault } from "./AnswerBody.js";
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
   * @returns Why the bytes were not taken; undefined when they were.
   */
  relay(attempt: Attempt, chunk: Buffer): AnswerFault | undefined {
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

  /** Checks whether another upstream can be told where to go on, so that no event comes twice or is left out. */
  isResumable(): boolean {
    return this.eventBuffer?.isResumable() ?? true;
  }

  /**
   * Prepares for the answer of the next upstream, which sends the event in which the stream broke again, from its start.
   * @param requestedId - Id of the last event that the caller had received before this request.
   * @returns Id of the event after which the upstream must go on; undefined at the start of the stream.
   */
  prepareContinuation(requestedId: string | undefined): string | undefined {
    const lastEventId = this.eventBuffer?.getLastEventId() ?? requestedId;
    this.eventBuffer?.expectAfter(lastEventId);
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
