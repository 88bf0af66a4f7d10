import type { ResponseHead } from "@pistachioway/kernel";
import type { ServerResponse } from "node:http";
import {
  isNotRun,
  RequestResponse,
  type RefusalName,
  type TargetReport,
} from "../ingress/index.js";
import { encodeHead, forwardedResponseHeader, type ForwardedRefusal } from "./messages.js";

const okStatus = 200;

/** Writes the response to a request that a peer has forwarded: the upstream's head travels in one header. */
export class ForwardedResponseWriter extends RequestResponse {
  private status = 0;

  private constructor(
    response: ServerResponse,
    private readonly requestId: string | undefined,
  ) {
    super(response);
  }

  /**
   * Creates a response of which nothing has been written.
   * @param response - Response of the HTTP server.
   * @param requestId - Id of the request; undefined when it cannot be read.
   */
  static create(response: ServerResponse, requestId: string | undefined): ForwardedResponseWriter {
    return new ForwardedResponseWriter(response, requestId);
  }

  getStatus(): number {
    return this.status;
  }

  refuse(name: RefusalName, detail: string, retryAfterSeconds?: number): void {
    const notRunEnd = name === "upstream-refused" ? "refused" : "notSent";
    const end = isNotRun(name) ? notRunEnd : "lost";
    this.refuseForPeer({ name, detail, retryAfterSeconds, end });
  }

  /** Responds with a refusal that tells the peer what is certain of the request. */
  refuseForPeer(
    refusal: Pick<ForwardedRefusal, "name" | "detail" | "retryAfterSeconds" | "end">,
  ): void {
    const head = encodeHead({ kind: "refusal", requestId: this.requestId, ...refusal });
    const headers = { [forwardedResponseHeader]: head, "content-length": 0 };
    this.response.writeHead(okStatus, headers);
    this.response.end();
  }

  sendComplete(head: ResponseHead, body: Buffer, _isHeadOnly: boolean, target: TargetReport): void {
    this.writeHead(head, target, { "content-length": body.length });
    this.response.end(body);
  }

  startStream(head: ResponseHead, target: TargetReport): void {
    this.writeHead(head, target, {});
    this.response.flushHeaders();
  }

  private writeHead(
    { status, requestId, passedHeaders, isFramed, isLeaving }: ResponseHead,
    { upstream, software }: TargetReport,
    framing: Readonly<Record<string, number>>,
  ): void {
    this.status = status;
    const answer = encodeHead({
      kind: "answer",
      status,
      requestId,
      passedHeaders: [...passedHeaders],
      isFramed,
      upstream,
      softwareVersion: software,
      isLeaving,
    });
    this.response.writeHead(okStatus, { [forwardedResponseHeader]: answer, ...framing });
  }
}
