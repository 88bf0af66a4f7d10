import type { IncomingHttpHeaders } from "node:http";
import { allowsBody, isCompleteBy, type ProcessWatchUse } from "../exchange/index.js";
import type { Connections } from "./Connections.js";
import { readWholeBody, type UnreadBody } from "./readWholeBody.js";

/** What decides whether something else than the end of the connection marks the end of an answer. */
export interface AnswerHead {
  readonly method: string;
  readonly status: number;
  readonly headers: IncomingHttpHeaders;
}

/** Where hosts are asked for their health; any answer will do. */
const healthRequest = { path: "/health", headers: [] };

/** The end of an answer, which the end of a connection is only while the process that began it goes on. */
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
   * Reads a body to its end. Returns undefined when it is interrupted, too large, or may lack its last part.
   * @param head - Head of the answer, which has just been received.
   * @param body - Its body.
   * @param maxBytes - Size of the largest body to accept.
   */
  async readBody(
    head: AnswerHead,
    body: UnreadBody,
    maxBytes: number,
  ): Promise<Buffer | undefined> {
    if (isFramed(head)) {
      return readWholeBody(body, maxBytes);
    }
    const { address } = this;
    const startedAt = performance.now();
    const getNow = (): number => performance.now();
    const use = this.connections.processes.use({ address, request: healthRequest, getNow });
    try {
      const content = await readWholeBody(body, maxBytes);
      return content !== undefined && (await this.isComplete(use, startedAt)) ? content : undefined;
    } finally {
      use.release();
    }
  }

  /** Checks whether none of the host's connections was reset meanwhile, and the process that began the answer goes on. */
  private async isComplete({ watch }: ProcessWatchUse, startedAt: number): Promise<boolean> {
    if (this.connections.getBreaks(this.address) !== this.breaks) {
      return false;
    }
    const times = { startedAt, earliestEnd: performance.now() };
    return isCompleteBy(await watch.check(times, () => true));
  }
}

function isFramed({ method, status, headers }: AnswerHead): boolean {
  const hasChunks = headers["transfer-encoding"]?.toLowerCase().endsWith("chunked") ?? false;
  const mayHaveBody = allowsBody(status, method === "HEAD");
  return !mayHaveBody || hasChunks || headers["content-length"] !== undefined;
}
