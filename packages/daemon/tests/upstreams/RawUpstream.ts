import { createServer, type AddressInfo, type Server, type Socket } from "node:net";

/** A request whose head has arrived. */
export interface RawRequest {
  readonly attemptId: string;
  readonly method: string;
  /** Connection that the request arrived on. */
  readonly socket: Socket;
  /** True when the whole body has arrived too. */
  readonly isBodyComplete: boolean;
}

/** Answers a request with bytes of any form; called once for each request. */
export type RawScript = (request: RawRequest) => void;

/** When a script is called. */
export type RawMoment = "after head" | "after body";

const headEnd = "\r\n\r\n";
const healthRequestStart = "GET /health ";
const healthAnswer = `HTTP/1.1 200 OK\r\nContent-Length: 0${headEnd}`;

/** An upstream on a plain socket, which counts the requests that arrive and writes any bytes. */
export class RawUpstream {
  /** Attempt ids of the requests that arrived, in order. */
  readonly received: string[] = [];
  private readonly server: Server;
  private readonly sockets = new Set<Socket>();

  private constructor(
    private readonly script: RawScript,
    private readonly moment: RawMoment,
  ) {
    this.server = createServer((socket) => {
      this.accept(socket);
    });
  }

  /**
   * Creates an upstream and binds its listener.
   * @param script - Answers the requests.
   * @param moment - When the script is called.
   */
  static async listen(script: RawScript, moment: RawMoment = "after body"): Promise<RawUpstream> {
    const upstream = new RawUpstream(script, moment);
    await new Promise<void>((resolve) => upstream.server.listen(0, "127.0.0.1", resolve));
    return upstream;
  }

  /** Gets the address in the form `127.0.0.1:PORT`. */
  get address(): string {
    return `127.0.0.1:${String((this.server.address() as AddressInfo).port)}`;
  }

  /** Closes the listener and every connection. */
  async close(): Promise<void> {
    for (const socket of this.sockets) {
      socket.destroy();
    }
    await new Promise((resolve) => this.server.close(resolve));
  }

  private accept(socket: Socket): void {
    let unread = "";
    let hasHead = false;
    this.sockets.add(socket);
    socket.setEncoding("latin1");
    socket.on("error", () => undefined);
    socket.on("data", (text: string) => {
      unread += text;
      for (let end = unread.indexOf(headEnd); end >= 0; end = unread.indexOf(headEnd)) {
        const length = end + headEnd.length + getBodyLength(unread);
        const isBodyComplete = unread.length >= length;
        if (unread.startsWith(healthRequestStart)) {
          unread = unread.slice(length);
          socket.write(healthAnswer);
          continue;
        }
        if (!hasHead) {
          hasHead = true;
          this.received.push(getAttemptId(unread));
          this.callScript("after head", unread, socket, isBodyComplete);
        }
        if (!isBodyComplete) {
          return;
        }
        this.callScript("after body", unread, socket, isBodyComplete);
        hasHead = false;
        unread = unread.slice(length);
      }
    });
  }

  private callScript(
    moment: RawMoment,
    text: string,
    socket: Socket,
    isBodyComplete: boolean,
  ): void {
    if (moment === this.moment) {
      const method = text.slice(0, text.indexOf(" "));
      this.script({ attemptId: getAttemptId(text), method, socket, isBodyComplete });
    }
  }
}

function getBodyLength(text: string): number {
  return Number(/\r\ncontent-length: (\d+)/i.exec(text)?.[1] ?? 0);
}

function getAttemptId(text: string): string {
  return /\r\nx-attempt-id: ([^\r]*)/i.exec(text)?.[1] ?? "";
}

/**
 * Formats a response.
 * @param status - HTTP status.
 * @param headers - Header lines.
 * @param body - Body, whose length is stated.
 */
export function toResponse(status: number, headers: readonly string[], body = ""): string {
  const length = `content-length: ${String(Buffer.byteLength(body))}`;
  return [`HTTP/1.1 ${String(status)} Status`, ...headers, length, "", body].join("\r\n");
}
