import type { IncomingHttpHeaders } from "node:http";
import { allowsBody, isStillServing } from "../exchange/index.js";
import type { Connections } from "./Connections.js";

/** What decides whether something else than the end of the connection marks the end of an answer. */
export interface AnswerHead {
  readonly method: string;
  readonly status: number;
  readonly headers: IncomingHttpHeaders;
}

/** The end of an answer, which the end of a connection is only while its host goes on serving. */
export class AnswerEnd {
  private readonly breaks: number;

  private constructor(
    private readonly connections: Connections,
    private readonly address: string,
  ) {
    this.breaks = connections.getBreaks(address);
  }

  /**
   * Creates the end of an answer that has not come yet.
   * @param connections - Connections to the hosts.
   * @param address - Address of the host.
   */
  static create(connections: Connections, address: string): AnswerEnd {
    return new AnswerEnd(connections, address);
  }

  /**
   * Checks, once a body has ended, whether the answer is complete. Without a length and chunks it is while its host accepts
   * connections and none of those to it has been reset meanwhile.
   * @param head - Head of the answer.
   */
  async isComplete(head: AnswerHead): Promise<boolean> {
    if (isFramed(head)) {
      return true;
    }
    const wasBroken = this.connections.getBreaks(this.address) !== this.breaks;
    return !wasBroken && (await isStillServing(this.address));
  }
}

function isFramed({ method, status, headers }: AnswerHead): boolean {
  const hasChunks = headers["transfer-encoding"]?.toLowerCase().endsWith("chunked") ?? false;
  const mayHaveBody = allowsBody(status, method === "HEAD");
  return !mayHaveBody || hasChunks || headers["content-length"] !== undefined;
}
