import type { FastifyReply } from "fastify";
import { once } from "node:events";
import { Problem, type Outcome } from "../errors/index.js";

/** Headers of a response. */
export type ResponseHeaders = Readonly<Record<string, string>>;

const millisecondsPerSecond = 1000;

/**
 * Writes the response to a caller, at once or as a stream, and applies backpressure while the
 * caller reads slowly. What follows the end of the response is dropped.
 */
export class ResponseWriter {
  private isStreaming = false;
  private isEnded = false;

  private constructor(
    private readonly reply: FastifyReply,
    private readonly requestId: string,
    private readonly getNow: () => number,
    private readonly isLast: () => boolean,
  ) {}

  /**
   * Creates a writer.
   * @param reply - Reply of the HTTP server.
   * @param requestId - Id of the request, sent to the caller.
   * @param getNow - Reads the clock.
   * @param isLast - Checks, when the head is written, whether the response is the last on its connection.
   */
  static create(
    reply: FastifyReply,
    requestId: string,
    getNow: () => number,
    isLast: () => boolean,
  ): ResponseWriter {
    return new ResponseWriter(reply, requestId, getNow, isLast);
  }

  /** True once the head of a streamed response was written. */
  isStreamStarted(): boolean {
    return this.isStreaming;
  }

  /**
   * Sends a complete response.
   * @param status - HTTP status.
   * @param headers - Additional headers.
   * @param body - Body.
   * @param outcome - What is known about the effect of the request.
   */
  sendResponse(status: number, headers: ResponseHeaders, body: Buffer, outcome: Outcome): void {
    if (this.isEnded) {
      return;
    }
    this.isEnded = true;
    void this.reply
      .code(status)
      .headers({
        ...headers,
        ...this.getConnectionHeaders(),
        "x-request-id": this.requestId,
        "x-outcome": outcome,
      })
      .send(body);
  }

  /**
   * Sends a failure: as a complete response, or as the last event of a stream that has started.
   * @param problem - Failure to report.
   * @param headers - Additional headers.
   */
  sendProblem(problem: Problem, headers: ResponseHeaders = {}): void {
    if (this.isEnded) {
      return;
    }
    this.isEnded = true;
    const body = toProblemBody(problem, this.requestId);
    if (this.isStreaming) {
      this.reply.raw.end(`event: error\ndata: ${body}\n\n`);
      return;
    }
    void this.reply
      .code(problem.getStatus())
      .headers({
        ...headers,
        ...this.getConnectionHeaders(),
        ...this.toRetryAfter(problem),
        "x-request-id": this.requestId,
        "x-outcome": problem.outcome,
        "content-type": "application/problem+json",
      })
      .send(body);
  }

  /**
   * Writes events to the stream and resolves when the caller can receive more.
   * @param text - Complete server-sent events.
   * @param headers - Headers, sent with the first events.
   */
  async writeEvents(text: string, headers: ResponseHeaders): Promise<void> {
    const { raw } = this.reply;
    if (this.isEnded || raw.destroyed) {
      return;
    }
    if (!this.isStreaming) {
      this.startStream(headers);
    }
    if (!raw.write(text)) {
      await Promise.race([once(raw, "drain"), once(raw, "close")]);
    }
  }

  /** Ends the stream. */
  endStream(): void {
    this.reply.raw.end();
  }

  private startStream(headers: ResponseHeaders): void {
    this.isStreaming = true;
    this.reply.hijack();
    this.reply.raw.writeHead(200, {
      ...(this.reply.getHeaders() as ResponseHeaders),
      ...headers,
      ...this.getConnectionHeaders(),
      "content-type": "text/event-stream",
      "cache-control": "no-store",
      "x-request-id": this.requestId,
    });
  }

  private getConnectionHeaders(): ResponseHeaders {
    return this.isLast() ? { connection: "close" } : {};
  }

  private toRetryAfter(problem: Problem): ResponseHeaders {
    if (problem.retryAt === undefined) {
      return {};
    }
    const seconds = Math.ceil((problem.retryAt - this.getNow()) / millisecondsPerSecond);
    return { "retry-after": String(Math.max(1, seconds)) };
  }
}

/**
 * Formats a failure as `application/problem+json`.
 * @param problem - Failure.
 * @param requestId - Id of the request.
 */
export function toProblemBody(problem: Problem, requestId: string): string {
  return JSON.stringify({
    type: `urn:pistachioway:${problem.code}`,
    title: problem.code.replaceAll("-", " "),
    status: problem.getStatus(),
    detail: problem.detail,
    outcome: problem.outcome,
    requestId,
  });
}
