import type { MemoryBudget, RequestRoute, ResponseHead } from "@pistachioway/kernel";
import { AnswerBody, type AnswerFault } from "./AnswerBody.js";
import type { Attempt } from "./Attempt.js";
import type { TargetReport } from "./AttemptTarget.js";
import { RelayedStream } from "./RelayedStream.js";
import type { RequestResponse } from "./RequestResponse.js";

/** What the answer to a request depends on. */
export interface ReceivedAnswerOptions {
  readonly route: RequestRoute;
  /** Response to the caller. */
  readonly response: RequestResponse;
  /** Memory for bodies. */
  readonly memory: MemoryBudget;
  /** Called when the attempt must fail, as that memory is used up. */
  readonly onEvicted: () => void;
}

/** What the attempts of a request receive: a stream is passed on as it comes, any other answer when it is complete. */
export class ReceivedAnswer {
  readonly stream: RelayedStream;
  private readonly body: AnswerBody;

  private constructor(
    private readonly response: RequestResponse,
    options: ReceivedAnswerOptions,
  ) {
    const share = options.memory.addShare(options.onEvicted);
    this.stream = RelayedStream.create(options.route, response, share);
    this.body = AnswerBody.create(share);
  }

  /**
   * Creates an answer of which nothing was received.
   * @param options - What it depends on.
   */
  static create(options: ReceivedAnswerOptions): ReceivedAnswer {
    return new ReceivedAnswer(options.response, options);
  }

  /**
   * Takes bytes that an attempt has received.
   * @returns Why the bytes were not taken; undefined when they were.
   */
  push(attempt: Attempt, head: ResponseHead, chunk: Buffer): AnswerFault | undefined {
    return this.stream.isPart(head)
      ? this.stream.relay(attempt, chunk)
      : this.body.push(head, chunk);
  }

  /** Ends the response to the caller with the complete answer. */
  complete(attempt: Attempt, head: ResponseHead, isHeadOnly: boolean, report: TargetReport): void {
    if (this.stream.isPart(head)) {
      this.stream.end(attempt);
      return;
    }
    this.response.sendComplete(head, this.body.take(), isHeadOnly, report);
    this.response.onceClosed(() => {
      this.body.clear();
    });
  }

  /** Drops what was received of an attempt, unless it is being passed on. */
  clear(): void {
    this.stream.clear();
    this.body.clearUnused();
  }
}
