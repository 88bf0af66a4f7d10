import { Client } from "undici";

/** A request that a caller sends. */
export interface CallerRequest {
  readonly id: string;
  readonly method: "GET" | "POST";
  readonly path: string;
  readonly key: string;
  readonly body?: string;
}

/** What came of a request. */
export interface CallerOutcome {
  /** 0 when there was no answer. */
  readonly status: number;
  /** Stamp of the upstream; empty when the answer has none. */
  readonly stamp: string;
  readonly body: string;
  /** Whether the answer came to its end in order. */
  readonly isWhole: boolean;
  /** Whether a connection stood when the request was sent. */
  readonly wasConnected: boolean;
}

const patienceMilliseconds = 3_000;
const host = "chat.example";

/** Stands in for a caller: keeps one connection and sends one request after the other on it. */
export class ScriptedCaller {
  private isConnected = false;

  private constructor(private readonly client: Client) {
    client.on("connect", () => {
      this.isConnected = true;
    });
    client.on("disconnect", () => {
      this.isConnected = false;
    });
  }

  /**
   * Creates a caller that is not connected yet.
   * @param address - Address of a router, in the form `HOST:PORT`.
   */
  static create(address: string): ScriptedCaller {
    const client = new Client(`http://${address}`, { pipelining: 1 });
    return new ScriptedCaller(client);
  }

  /** Closes the connection. */
  async close(): Promise<void> {
    await this.client.destroy();
  }

  /** Sends a request and resolves when its answer is whole, or there will be none. */
  async call({ id, method, path, key, body }: CallerRequest): Promise<CallerOutcome> {
    const seen = { status: 0, stamp: "", body: "", isWhole: false };
    const wasConnected = this.isConnected;
    try {
      const answer = await this.client.request({
        method,
        path,
        body: body ?? null,
        headers: {
          host,
          "request-id": id,
          "deadline-ms": String(patienceMilliseconds),
          "api-key": key,
        },
        signal: AbortSignal.timeout(patienceMilliseconds),
      });
      seen.status = answer.statusCode;
      seen.stamp = String(answer.headers["response-stamp"] ?? "");
      for await (const chunk of answer.body) {
        seen.body += String(chunk);
      }
      seen.isWhole = true;
    } catch {
      // What was seen until then tells how the answer ended.
    }
    return { ...seen, wasConnected };
  }
}
