import { createServer, type IncomingMessage, type Server, type ServerResponse } from "node:http";
import { Server as NetServer, type AddressInfo } from "node:net";

/** A request received by the upstream. */
export interface ReceivedRequest {
  readonly id: string;
  readonly method: string;
  readonly path: string;
  readonly headers: IncomingMessage["headers"];
  /** Team that the router sets on the request. */
  readonly team: string | undefined;
  /** API key of the caller; a router must not forward it. */
  readonly key: string | undefined;
  readonly lastEventId: string | undefined;
  /** Id of the upstream that the request is meant for. */
  readonly expectedUpstream: string | undefined;
  readonly body: string;
  /** Checks whether the connection was closed before the response was finished. */
  readonly isAbandoned: () => boolean;
}

/** Responds to one request, correctly or with a fault. */
export type Script = (request: ReceivedRequest, response: ServerResponse) => void;

/** A request whose body is not read yet. */
export type ReceivedHead = Pick<ReceivedRequest, "id" | "method" | "path" | "expectedUpstream">;

/**
 * May write the response while the body of the request still comes. It does not end the response: the script does, once
 * the whole body is read.
 * @returns Time after which the body is read, in milliseconds; undefined if nothing is written and it is read at once.
 */
export type HeadScript = (head: ReceivedHead, response: ServerResponse) => number | undefined;

/** Path on which an upstream answers for its health, as the published configuration names it. */
export const healthPath = "/healthz";

/** Stand-in for an upstream: records each request and responds by a script. */
export class ScriptedUpstream {
  readonly received: ReceivedRequest[] = [];
  /** Version of its software, as it publishes it. */
  softwareVersion = "v1";
  /** Availability zone that it publishes. */
  zone = "north";
  /** Number of questions for its health. */
  healthRequests = 0;
  private readonly server: Server;
  /** Id that it names in its health answers, if that is another one than it registered under. */
  private instance: string | undefined;

  private constructor(
    readonly id: string,
    private script: Script,
    private headScript: HeadScript | undefined,
  ) {
    this.server = createServer((request, response) => {
      this.receive(request, response);
    });
  }

  /**
   * Creates an upstream that is not listening yet.
   * @param id - Id under which it registers.
   * @param script - Responds to its requests.
   * @param headScript - May respond before the body is read.
   */
  static create(
    id: string,
    script: Script = respondWith("ok"),
    headScript?: HeadScript,
  ): ScriptedUpstream {
    return new ScriptedUpstream(id, script, headScript);
  }

  /** Gets the address in the form `127.0.0.1:PORT`. */
  get address(): string {
    const address = this.server.address();
    return typeof address === "object" && address !== null
      ? `127.0.0.1:${String(address.port)}`
      : "";
  }

  /** Binds the listener. */
  async listen(): Promise<void> {
    await new Promise<void>((resolve) => this.server.listen(0, "127.0.0.1", resolve));
  }

  /** Accepts no further connections, and leaves those that are open as they are. */
  stopListening(): void {
    NetServer.prototype.close.call(this.server);
  }

  /** Ends every connection, and still accepts others. */
  endConnections(): void {
    this.server.closeAllConnections();
  }

  /** Closes the listener and every connection. */
  async close(): Promise<void> {
    this.server.closeAllConnections();
    await new Promise((resolve) => this.server.close(resolve));
  }

  /**
   * Ends its process as a crash does, and starts another one that listens on the same port at once.
   * @param id - Id of the other process; the same by default.
   */
  async crashAndRestart(id = this.id): Promise<void> {
    const { port } = this.server.address() as AddressInfo;
    await this.close();
    this.instance = id;
    await new Promise<void>((resolve) => this.server.listen(port, "127.0.0.1", resolve));
  }

  setHeadScript(headScript: HeadScript): void {
    this.headScript = headScript;
  }

  setScript(script: Script): void {
    this.script = script;
  }

  /**
   * Gets the registry entry of the upstream.
   * @param address - Published address: its own, or that of a link in front of it.
   */
  getEntry(
    service: string,
    state: string,
    sequence: number,
    address = this.address,
  ): Record<string, unknown> {
    const { zone, softwareVersion: version } = this;
    return { service, address, zone, version, slots: 8, state, seq_no: sequence, born: 1 };
  }

  private receive(request: IncomingMessage, response: ServerResponse): void {
    if (request.url === healthPath) {
      this.answerHealth(request, response);
      return;
    }
    const head = {
      id: String(request.headers["request-id"]),
      method: request.method ?? "",
      path: request.url ?? "",
      expectedUpstream: getHeaderText(request.headers["expect-instance"]),
    };
    const readBody = (): void => {
      this.readBody(request, response, head);
    };
    const delayMilliseconds = this.headScript?.(head, response);
    if (delayMilliseconds === undefined) {
      readBody();
    } else {
      setTimeout(readBody, delayMilliseconds);
    }
  }

  /** Says that the upstream is well, and which one it is. */
  private answerHealth(request: IncomingMessage, response: ServerResponse): void {
    this.healthRequests += 1;
    request.resume();
    response.writeHead(200, { instance: this.instance ?? this.id, "content-length": 0 });
    response.end();
  }

  private readBody(request: IncomingMessage, response: ServerResponse, head: ReceivedHead): void {
    const chunks: Buffer[] = [];
    let isAbandoned = false;
    response.on("close", () => {
      isAbandoned = !response.writableFinished;
    });
    request.on("data", (chunk: Buffer) => chunks.push(chunk));
    request.on("end", () => {
      const received: ReceivedRequest = {
        ...head,
        headers: request.headers,
        team: getHeaderText(request.headers["tenant"]),
        key: getHeaderText(request.headers["api-key"]),
        lastEventId: getHeaderText(request.headers["last-event-id"]),
        body: Buffer.concat(chunks).toString("utf8"),
        isAbandoned: () => isAbandoned,
      };
      this.received.push(received);
      this.script(received, response);
    });
  }
}

function getHeaderText(value: string | string[] | undefined): string | undefined {
  return Array.isArray(value) ? value[0] : value;
}

/**
 * Creates a script that responds with a complete body.
 * @param body - Text of the body.
 * @param status - HTTP status.
 */
export function respondWith(body: string, status = 200): Script {
  return ({ id }, response) => {
    response.writeHead(status, {
      "request-id": id,
      "response-stamp": `stamp-${id}`,
      "content-length": Buffer.byteLength(body),
    });
    response.end(body);
  };
}

/** Responds with 503 and the header that says that the request was not run. */
export const refuseRequest: Script = ({ id }, response) => {
  response.writeHead(503, { "request-id": id, "not-run": "1", "content-length": 0 });
  response.end();
};

/**
 * Creates a script that refuses and asks for no further requests for a time.
 * @param retryAfter - Text of the `Retry-After` header: seconds, also fractions.
 */
export function askToBeLeftAlone(retryAfter: string): Script {
  return ({ id }, response) => {
    const headers = { "request-id": id, "not-run": "1", "content-length": 0 };
    response.writeHead(503, { ...headers, "retry-after": retryAfter });
    response.end();
  };
}

/**
 * Creates a script that responds like another one and announces that the upstream leaves.
 * @param script - Script to respond by.
 */
export function announceLeaving(script: Script): Script {
  return (request, response) => {
    response.setHeader("server-leaving", "1");
    script(request, response);
  };
}

/**
 * Creates a script that streams the events after the caller's `last-event-id`, up to an id.
 * @param lastId - Id of the last event to write.
 * @param end - What follows: the end of the stream, or a connection reset inside the next event.
 */
export function streamEvents(lastId: number, end: "complete" | "broken"): Script {
  return ({ id, lastEventId }, response) => {
    response.writeHead(200, {
      "request-id": id,
      "response-stamp": `stamp-${id}`,
      "content-type": "text/event-stream",
    });
    for (let event = Number(lastEventId ?? 0) + 1; event <= lastId; event += 1) {
      response.write(`id: ${String(event)}\ndata: piece ${String(event)}\n\n`);
    }
    if (end === "complete") {
      response.end();
      return;
    }
    response.write(`id: ${String(lastId + 1)}\ndata: pie`, () => {
      setTimeout(() => response.socket?.resetAndDestroy(), 20);
    });
  };
}
