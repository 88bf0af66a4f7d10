import type { ResponseHead } from "@pistachioway/kernel";
import type { ServerResponse } from "node:http";
import { refusalResponses, type RefusalName } from "./refusals.js";

const statusesWithoutBody = new Set([204, 304]);

/** Writes the one answer of a caller's request. */
export class CallerResponse {
  private constructor(
    private readonly response: ServerResponse,
    private readonly requestId: string,
    private readonly isLastOnConnection: () => boolean,
  ) {}

  /**
   * Creates an answer of which nothing is written.
   * @param response - Response of the HTTP server.
   * @param requestId - Id that the caller gave the request.
   * @param isLastOnConnection - Tells whether the connection takes no further request.
   */
  static create(
    response: ServerResponse,
    requestId: string,
    isLastOnConnection: () => boolean,
  ): CallerResponse {
    response.sendDate = false;
    return new CallerResponse(response, requestId, isLastOnConnection);
  }

  /** Tells whether the head has been written. */
  isStarted(): boolean {
    return this.response.headersSent;
  }

  /** Gets the status that was written; 0 before. */
  getStatus(): number {
    return this.response.headersSent ? this.response.statusCode : 0;
  }

  /**
   * Answers that the request is not served.
   * @param name - Why.
   * @param detail - Sentence that names the thing that failed.
   */
  refuse(name: RefusalName, detail: string): void {
    const { status, retryAfterSeconds } = refusalResponses[name];
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
   * Writes a whole answer of an upstream.
   * @param head - Its head.
   * @param body - Its body.
   * @param isHeadOnly - True for an answer that has no body by its method.
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
   * @param head - Head of the upstream's answer.
   */
  startStream(head: ResponseHead): void {
    this.setFraming(head);
    this.response.writeHead(head.status, this.withConnection([...head.passedHeaders]));
    this.response.flushHeaders();
  }

  /**
   * Writes bytes of a stream.
   * @param chunk - Bytes to write.
   * @returns False when the caller reads more slowly than the upstream writes.
   */
  write(chunk: Buffer): boolean {
    return this.response.write(chunk);
  }

  /**
   * Calls a function once the caller has read what waits.
   * @param onDrain - Function to call.
   */
  onceDrained(onDrain: () => void): void {
    this.response.once("drain", onDrain);
  }

  /** Ends a whole stream. */
  endStream(): void {
    this.response.end();
  }

  /** Breaks an answer that cannot be finished, so that it does not look whole. */
  abort(): void {
    this.response.socket?.resetAndDestroy();
    this.response.destroy();
  }

  /**
   * An answer that its connection's end delimits stays so: the upstream may have broken it off, and
   * a length or a last chunk would vouch for it.
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
