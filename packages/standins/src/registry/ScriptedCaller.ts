import { Agent, request, type IncomingMessage } from "node:http";

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
  /** Whether the request went to a connection that stood. */
  readonly wasConnected: boolean;
}

const timeoutMilliseconds = 3_000;
const host = "chat.example";

/** Stands in for a caller: keeps one connection and sends one request after the other on it. */
export class ScriptedCaller {
  private readonly agent = new Agent({ keepAlive: true, maxSockets: 1 });

  private constructor(private readonly address: URL) {}

  /**
   * Creates a caller that is not connected yet.
   * @param address - Address of a router, in the form `HOST:PORT`.
   */
  static create(address: string): ScriptedCaller {
    return new ScriptedCaller(new URL(`http://${address}`));
  }

  /** Closes the connection. */
  close(): void {
    this.agent.destroy();
  }

  /** Sends a request and resolves when its answer is whole, or there will be none. */
  call({ id, method, path, key, body = "" }: CallerRequest): Promise<CallerOutcome> {
    const clientRequest = request({
      agent: this.agent,
      host: this.address.hostname,
      port: this.address.port,
      method,
      path,
      headers: {
        host,
        "request-id": id,
        "deadline-ms": String(timeoutMilliseconds),
        "api-key": key,
        ...(body === "" ? {} : { "content-length": Buffer.byteLength(body) }),
      },
    });
    const outcome = new Promise<CallerOutcome>((resolve) => {
      const finish = (part: Partial<CallerOutcome>): void => {
        clearTimeout(timer);
        const noResponse = { status: 0, stamp: "", body: "", isWhole: false };
        resolve({ ...noResponse, wasConnected: clientRequest.reusedSocket, ...part });
      };
      const timer = setTimeout(() => clientRequest.destroy(), timeoutMilliseconds);
      clientRequest.on("error", () => {
        finish({});
      });
      clientRequest.on("response", (response) => {
        readResponse(response, finish);
      });
    });
    clientRequest.end(body);
    return outcome;
  }
}

function readResponse(
  response: IncomingMessage,
  finish: (part: Partial<CallerOutcome>) => void,
): void {
  const status = response.statusCode ?? 0;
  const stamp = String(response.headers["response-stamp"] ?? "");
  let body = "";
  response.setEncoding("utf8");
  response.on("data", (chunk: string) => {
    body += chunk;
  });
  // Its end tells through `close` whether it came in order.
  response.on("error", () => undefined);
  response.on("close", () => {
    finish({ status, stamp, body, isWhole: response.complete });
  });
}
