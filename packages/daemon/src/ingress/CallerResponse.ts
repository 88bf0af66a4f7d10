import type { ResponseHead } from "@pistachioway/kernel";
import type { ServerResponse } from "node:http";
import { allowsBody } from "../exchange/index.js";
import { refusalResponses, type RefusalName } from "./refusals.js";
import { RequestResponse } from "./RequestResponse.js";

/** Writes the response to a caller's request. */
export class CallerResponse extends RequestResponse {
  private constructor(
    response: ServerResponse,
    private readonly requestId: string,
    private readonly isLastOnConnection: () => boolean,
  ) {
    super(response);
  }

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
    return new CallerResponse(response, requestId, isLastOnConnection);
  }

  /** Gets the status that was written; 0 before the head is written. */
  getStatus(): number {
    return this.response.headersSent ? this.response.statusCode : 0;
  }

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

  sendComplete(head: ResponseHead, body: Buffer, isHeadOnly: boolean): void {
    const headers = withoutLength(head.passedHeaders);
    if (!allowsBody(head.status, isHeadOnly)) {
      this.response.writeHead(head.status, this.withConnection([...head.passedHeaders]));
      this.response.end();
      return;
    }
    if (head.isFramed) {
      headers.push("Content-Length", String(body.length));
    } else {
      this.endWithConnection();
    }
    this.response.writeHead(head.status, this.withConnection(headers));
    this.response.end(body);
  }

  /**
   * Writes the head of a stream, which is sent in chunks however the upstream delimits it: only the last chunk ends it, so
   * that neither the end of this process nor that of an upstream looks like the end of the stream. Callers of HTTP/1.0
   * know no chunks; their streams end with the connection.
   */
  startStream(head: ResponseHead): void {
    const headers = withoutLength(head.passedHeaders);
    this.response.writeHead(head.status, this.withConnection(headers));
    this.response.flushHeaders();
  }

  /**
   * Delimits a whole answer by the end of its connection, as its upstream did. The upstream may have cut it off, and a
   * content length or a last chunk would mark it as complete.
   */
  private endWithConnection(): void {
    this.response.useChunkedEncodingByDefault = false;
    this.response.shouldKeepAlive = false;
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
