import type { ResponseHead } from "@pistachioway/kernel";
import type { ServerResponse } from "node:http";
import { refusalResponses, type RefusalName } from "./refusals.js";

const statusesWithoutBody = new Set([204, 304]);

/** Writes the response to a caller's request. */
export class CallerResponse {
  private constructor(
    private readonly response: ServerResponse,
    private readonly requestId: string,
    private readonly isLastOnConnection: () => boolean,
  ) {}

  /**
   * Creates a response of which nothing has been written.
   * @param response - Response of the HTTP server.
   * @param requestId - Id that the caller gave the request.
   * @param isLastOnConnection - Checks whether the connection accepts no further request.
   */
  static create(
    response: ServerResponse,
    requestId: string,
    isLastOnConnection: () => boolean,
  ): CallerResponse {
    response.sendDate = false;
    return new CallerResponse(response, requestId, isLastOnConnection);
  }

  /** Checks whether the head has been written. */
  isStarted(): boolean {
    return this.response.headersSent;
  }

  /** Gets the status that was written; 0 before the head is written. */
  getStatus(): number {
    return this.response.headersSent ? this.response.statusCode : 0;
  }

  /**
   * Responds with a refusal.
   * @param name - Reason of the refusal.
   * @param detail - Description that names what failed.
   * @param knownRetryAfterSeconds - Time after which a retry may succeed, if it is known.
   */
  refuse(name: RefusalName, detail: string, knownRetryAfterSeconds?: number): void {
    const { status, retryAfterSeconds: usualSeconds } = refusalResponses[name];
    const retryAfterSeconds =
      usualSeconds === undefined ? undefined : (knownRetryAfterSeconds ?? usualSeconds);
    const body = Buffer.from(JSON.stringify({ type: name, detail }));
    const headers = [
      ...["Content-Type", "application/problem+json"],
      ...["Content-Length", String(body.length)],
    ];
    if (this.requestId !== "") {
      headers.push("Request-Id", this.requestId);
    }
    if (retryAfterSeconds !== undefined) {
      headers.push("Retry-After", String(retryAfterSeconds));
    }
    this.response.writeHead(status, this.withConnection(headers));
    this.response.end(body);
  }

  /**
   * Writes the complete response of an upstream.
   * @param head - Head of the upstream's response.
   * @param body - Its body.
   * @param isHeadOnly - True when the request's method allows no response body.
   */
  sendComplete(head: ResponseHead, body: Buffer, isHeadOnly: boolean): void {
    const headers = withoutLength(head.passedHeaders);
    if (isHeadOnly || statusesWithoutBody.has(head.status)) {
      this.response.writeHead(head.status, this.withConnection([...head.passedHeaders]));
      this.response.end();
      return;
    }
    if (head.isFramed) {
      headers.push("Content-Length", String(body.length));
    }
    this.setFraming(head);
    this.response.writeHead(head.status, this.withConnection(headers));
    this.response.end(body);
  }

  /**
   * Writes the head of a stream.
   * @param head - Head of the upstream's response.
   */
  startStream(head: ResponseHead): void {
    this.setFraming(head);
    this.response.writeHead(head.status, this.withConnection([...head.passedHeaders]));
    this.response.flushHeaders();
  }

  /**
   * Writes bytes of a stream.
   * @param chunk - Bytes to write.
   * @returns False when the write buffer is full because the caller reads more slowly.
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

  /** Ends a complete stream. */
  endStream(): void {
    this.response.end();
  }

  /** Resets the connection of a response that cannot be completed, so that it does not look complete. */
  abort(): void {
    this.response.socket?.resetAndDestroy();
    this.response.destroy();
  }

  /**
   * Keeps a response delimited by the end of its connection when the upstream's response was. The
   * upstream may have cut it off, and a content length or a last chunk would mark it as complete.
   */
  private setFraming(head: ResponseHead): void {
    if (!head.isFramed) {
      this.response.useChunkedEncodingByDefault = false;
      this.response.shouldKeepAlive = false;
    }
  }

  private withConnection(headers: string[]): string[] {
    if (this.isLastOnConnection()) {
      headers.push("Connection", "close");
    }
    return headers;
  }
}

function withoutLength(headers: readonly string[]): string[] {
  return headers.filter(
    (_, index) => headers[index - (index % 2)]?.toLowerCase() !== "content-length",
  );
}
