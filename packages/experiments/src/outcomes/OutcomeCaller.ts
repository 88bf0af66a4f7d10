import { Agent, request, type ClientRequest } from "node:http";
import type { SiteRoute } from "./sites.js";

/** What a caller was told. */
export interface CallerAnswer {
  /** HTTP status; 0 when there was no response. */
  readonly status: number;
  readonly isWhole: boolean;
  readonly body: string;
  /** Time to wait before the request is sent again, if the response names one. */
  readonly retryAfterSeconds: number;
  /** Whether no connection was made, so that the request was not read. */
  readonly wasUnread: boolean;
}

/** An attempt to send. */
export interface CallerAttempt {
  readonly id: string;
  readonly route: SiteRoute;
  /** Time at which the caller gives up, in milliseconds since the epoch. */
  readonly deadline: number;
  /** Bytes of the body of an act. */
  readonly bodyBytes: number;
}

const noAnswer: CallerAnswer = {
  status: 0,
  isWhole: false,
  body: "",
  retryAfterSeconds: 0,
  wasUnread: false,
};

/** Sends the requests of many callers to one router, on kept connections. */
export class OutcomeCaller {
  private readonly agent = new Agent({ keepAlive: true });
  private readonly url: URL;

  private constructor(
    address: string,
    private readonly key: string,
  ) {
    this.url = new URL(`http://${address}`);
  }

  /**
   * Creates a caller without connections.
   * @param address - Address of a router, in the form `HOST:PORT`.
   * @param key - API key.
   */
  static create(address: string, key: string): OutcomeCaller {
    return new OutcomeCaller(address, key);
  }

  /** Closes every connection. */
  close(): void {
    this.agent.destroy();
  }

  /**
   * Sends one attempt, and resolves when it has ended.
   * @param attempt - The attempt.
   * @param isNewConnection - Whether it is sent on a connection of its own.
   */
  async send(attempt: CallerAttempt, isNewConnection: boolean): Promise<CallerAnswer> {
    const { id, route, deadline, bodyBytes } = attempt;
    const remainingMilliseconds = Math.max(1, Math.floor(deadline - Date.now()));
    const body = route.kind === "act" ? id.padEnd(bodyBytes, ".") : "";
    const clientRequest = request({
      agent: isNewConnection ? false : this.agent,
      host: this.url.hostname,
      port: this.url.port,
      method: route.kind === "act" ? "POST" : "GET",
      path: `/${route.name}/${id}`,
      headers: {
        host: "chat.example",
        "request-id": id,
        "deadline-ms": String(remainingMilliseconds),
        "api-key": this.key,
        ...(body === "" ? {} : { "content-length": body.length }),
      },
    });
    clientRequest.end(body);
    const timer = setTimeout(() => clientRequest.destroy(), remainingMilliseconds);
    const answer = await receive(clientRequest);
    clearTimeout(timer);
    return answer;
  }
}

function receive(clientRequest: ClientRequest): Promise<CallerAnswer> {
  return new Promise((resolve) => {
    clientRequest.on("error", (error: NodeJS.ErrnoException) => {
      resolve({ ...noAnswer, wasUnread: error.code === "ECONNREFUSED" });
    });
    clientRequest.on("response", (response) => {
      let body = "";
      response.setEncoding("latin1");
      response.on("data", (chunk: string) => {
        body += chunk;
      });
      // `close` follows, and `complete` then says whether the response was cut off.
      response.on("error", () => undefined);
      response.on("close", () => {
        const retryAfterSeconds = Number(response.headers["retry-after"] ?? 0);
        const status = response.statusCode ?? 0;
        resolve({ ...noAnswer, status, isWhole: response.complete, body, retryAfterSeconds });
      });
    });
  });
}
