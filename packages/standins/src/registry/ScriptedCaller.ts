import { Agent, request, type IncomingMessage } from "node:http";

/** A request that a caller sends. */
export interface CallerRequest {
  readonly id: string;
  readonly method: "GET" | "POST";
  readonly path: string;
  readonly key: string;
  readonly body?: string;
}

/** Outcome of a request. */
export interface CallerOutcome {
  /** HTTP status; 0 when there was no response. */
  readonly status: number;
  /** `response-stamp` header of the upstream; empty when the response has none. */
  readonly stamp: string;
  readonly body: string;
  /** Whether the response announces that its upstream leaves. */
  readonly isLeaving: boolean;
  /** Whether the response was received completely. */
  readonly isWhole: boolean;
  /** Whether the request reused an open connection. */
  readonly wasConnected: boolean;
}

const timeoutMilliseconds = 3_000;
const host = "chat.example";

/** Stand-in for a caller: sends its requests one after the other on a single connection. */
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

  /** Sends a request and resolves when its response has ended, or when it failed or timed out. */
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
      const finish = (received: Partial<CallerOutcome>): void => {
        clearTimeout(timer);
        const noResponse = { status: 0, stamp: "", body: "", isLeaving: false, isWhole: false };
        resolve({ ...noResponse, wasConnected: clientRequest.reusedSocket, ...received });
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
  finish: (received: Partial<CallerOutcome>) => void,
): void {
  const status = response.statusCode ?? 0;
  const stamp = String(response.headers["response-stamp"] ?? "");
  const isLeaving = response.headers["server-leaving"] === "1";
  let body = "";
  response.setEncoding("utf8");
  response.on("data", (chunk: string) => {
    body += chunk;
  });
  // `close` follows, and `complete` then says whether the response was cut off.
  response.on("error", () => undefined);
  response.on("close", () => {
    finish({ status, stamp, body, isLeaving, isWhole: response.complete });
  });
}
