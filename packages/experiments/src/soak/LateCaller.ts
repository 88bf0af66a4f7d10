import type { CallerOutcome } from "@pistachioway/standins";
import { once } from "node:events";
import { request, type ClientRequest, type IncomingMessage } from "node:http";
import { connect, type Socket } from "node:net";
import { setTimeout as delay } from "node:timers/promises";

/** What a caller does long before the rest: it opens the connection, or it sends the head of the request. */
export type EarlyPart = "connection" | "head";

/** A request whose parts are sent at different times. */
export interface LateRequest {
  readonly id: string;
  readonly path: string;
  readonly key: string;
  readonly body: string;
  readonly earlyPart: EarlyPart;
  /** Time from the early part to the rest. */
  readonly delayMilliseconds: number;
}

/** Outcome of a late request. Instants are milliseconds of the monotonic clock. */
export interface LateOutcome extends CallerOutcome {
  /** When the head was sent. */
  readonly sentAt: number;
  /** When the last byte was sent; undefined if the connection or the response ended before. */
  readonly lastByteAt: number | undefined;
}

/** Time for which the caller waits from the head on. */
const timeoutMilliseconds = 12_000;
const host = "chat.example";

/** A caller that sends its requests late on connections that it has opened before. */
export class LateCaller {
  private constructor(
    private readonly address: URL,
    private readonly signal: AbortSignal,
  ) {}

  /**
   * Creates a caller.
   * @param address - Address of a router, in the form `HOST:PORT`.
   * @param signal - Ends the call that is under way.
   */
  static create(address: string, signal: AbortSignal): LateCaller {
    return new LateCaller(new URL(`http://${address}`), signal);
  }

  /**
   * Sends a request on a new connection.
   * @returns Its outcome; undefined if there was no connection any more when its head was due.
   */
  async call(late: LateRequest): Promise<LateOutcome | undefined> {
    const { signal } = this;
    const socket = connect(Number(this.address.port), this.address.hostname);
    socket.on("error", () => undefined);
    const destroy = (): void => {
      socket.destroy();
    };
    signal.addEventListener("abort", destroy);
    try {
      await once(socket, "connect", { signal });
      if (late.earlyPart === "connection") {
        await delay(late.delayMilliseconds, undefined, { signal });
      }
      return socket.writable ? await this.send(socket, late) : undefined;
    } catch {
      return undefined;
    } finally {
      signal.removeEventListener("abort", destroy);
      socket.destroy();
    }
  }

  private async send(socket: Socket, late: LateRequest): Promise<LateOutcome> {
    const sentAt = performance.now();
    const clientRequest = createRequest(socket, late);
    const outcome = readOutcome(clientRequest);
    const timer = setTimeout(() => socket.destroy(), timeoutMilliseconds);
    try {
      clientRequest.flushHeaders();
      const isOver = late.earlyPart === "head" && (await isOverWithin(late, outcome, this.signal));
      const lastByteAt = isOver ? undefined : performance.now();
      if (!isOver) {
        clientRequest.end(late.body);
      }
      return { ...(await outcome), sentAt, lastByteAt };
    } finally {
      clearTimeout(timer);
    }
  }
}

/** Waits until the rest of the request is due, and checks whether its outcome came before. */
function isOverWithin(
  { delayMilliseconds }: LateRequest,
  outcome: Promise<unknown>,
  signal: AbortSignal,
): Promise<boolean> {
  const due = delay(delayMilliseconds, false, { signal });
  return Promise.race([due, outcome.then(() => true)]);
}

function createRequest(socket: Socket, { id, path, key, body }: LateRequest): ClientRequest {
  return request({
    createConnection: () => socket,
    method: "POST",
    path,
    headers: {
      host,
      connection: "keep-alive",
      "request-id": id,
      "deadline-ms": String(timeoutMilliseconds),
      "api-key": key,
      "content-length": Buffer.byteLength(body),
    },
  });
}

/** Resolves when the response has ended, or when the connection failed. */
function readOutcome(clientRequest: ClientRequest): Promise<CallerOutcome> {
  const none = { status: 0, stamp: "", body: "", isLeaving: false, isWhole: false };
  return new Promise((resolve) => {
    clientRequest.on("error", () => {
      resolve({ ...none, wasConnected: true });
    });
    clientRequest.on("response", (response) => {
      void readResponse(response).then(resolve);
    });
  });
}

async function readResponse(response: IncomingMessage): Promise<CallerOutcome> {
  let body = "";
  response.setEncoding("utf8");
  response.on("data", (chunk: string) => {
    body += chunk;
  });
  // `complete` says whether the response was cut off.
  response.on("error", () => undefined);
  await new Promise((resolve) => response.once("close", resolve));
  return {
    status: response.statusCode ?? 0,
    stamp: String(response.headers["response-stamp"] ?? ""),
    body,
    isLeaving: response.headers["server-leaving"] === "1",
    isWhole: response.complete,
    wasConnected: true,
  };
}
