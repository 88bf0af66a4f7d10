import type { ResponseHead } from "@pistachioway/kernel";
import type { ServerResponse } from "node:http";
import type { TargetReport } from "./AttemptTarget.js";
import type { RefusalName } from "./refusals.js";

/** Writes the response to a request, in the form that its receiver expects. */
export abstract class RequestResponse {
  protected constructor(protected readonly response: ServerResponse) {
    response.sendDate = false;
  }

  /** Gets the status that was written; 0 before the head is written. */
  abstract getStatus(): number;

  /**
   * Responds with a refusal.
   * @param name - Reason of the refusal.
   * @param detail - Description that names what failed.
   * @param knownRetryAfterSeconds - Time after which a retry may succeed, if it is known.
   */
  abstract refuse(name: RefusalName, detail: string, knownRetryAfterSeconds?: number): void;

  /**
   * Writes the complete response of an upstream.
   * @param head - Head of the upstream's response.
   * @param body - Its body.
   * @param isHeadOnly - True when the request's method allows no response body.
   * @param target - What is known of the upstream.
   */
  abstract sendComplete(
    head: ResponseHead,
    body: Buffer,
    isHeadOnly: boolean,
    target: TargetReport,
  ): void;

  /**
   * Writes the head of a stream.
   * @param head - Head of the upstream's response.
   * @param target - What is known of the upstream.
   */
  abstract startStream(head: ResponseHead, target: TargetReport): void;

  /** Checks whether the head has been written. */
  isStarted(): boolean {
    return this.response.headersSent;
  }

  /**
   * Writes bytes of a stream.
   * @param chunk - Bytes to write.
   * @returns False when the write buffer is full because the receiver reads more slowly.
   */
  write(chunk: Buffer): boolean {
    return this.response.write(chunk);
  }

  /**
   * Calls a function once the write buffer has been drained.
   * @param onDrain - Function to call.
   */
  onceDrained(onDrain: () => void): void {
    this.response.once("drain", onDrain);
  }

  /**
   * Calls a function once the response has been written or its connection has ended; at once if it has.
   * @param onClose - Function to call.
   */
  onceClosed(onClose: () => void): void {
    if (this.response.closed) {
      onClose();
    } else {
      this.response.once("close", onClose);
    }
  }

  /** Ends a complete stream. */
  endStream(): void {
    this.response.end();
  }

  /** Resets the connection of a response that cannot be completed, so that it does not look complete. */
  abort(): void {
    this.response.socket?.resetAndDestroy();
    this.response.destroy();
  }
}
