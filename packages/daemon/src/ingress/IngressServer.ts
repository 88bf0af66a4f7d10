import {
  checkRequest,
  getTargetService,
  type FreshnessBounds,
  type RequestHead,
  type RequestLimits,
  type RequestApproval,
  type RouteTable,
} from "@pistachioway/kernel";
import { createServer, type IncomingMessage, type Server, type ServerResponse } from "node:http";
import type { Socket } from "node:net";
import { CallerResponse } from "./CallerResponse.js";
import { ActiveRequest } from "./ActiveRequest.js";
import type { ActiveRequestDependencies } from "./ActiveRequestDependencies.js";
import type { AcceptedRequest } from "./AcceptedRequest.js";
import { getRequestContent } from "./getRequestContent.js";
import { readBody } from "./readBody.js";
import type { RefusalName } from "./refusals.js";
import { EndingConnections } from "./EndingConnections.js";
import { RequestServer } from "./RequestServer.js";
import { trackActiveRequest, type RunningRequest } from "./RunningRequests.js";

/** Dependencies of the server. */
export interface IngressDependencies {
  /** Dependencies of each request that the server starts. */
  readonly requestDependencies: ActiveRequestDependencies;
  readonly bounds: FreshnessBounds;
  readonly getTable: () => RouteTable | undefined;
  /** True while the daemon stops: each response is the last on its connection. */
  readonly isDraining: () => boolean;
  /** Checks whether a complete request with this deadline, in monotonic milliseconds, is still sent on. */
  readonly isServed: (deadline: number) => boolean;
  /** Gets a random number in [0, 1), for traffic splits by weight. */
  readonly getRandom: () => number;
}

const maxHeaderBytes = 65_536;
const connectionCheckIntervalMilliseconds = 1_000;
const bodyTimeoutMilliseconds = 30_000;
/** Time before the caller's timeout by which the response is sent, so that it arrives in time. */
const responseMarginMilliseconds = 25;
const defaultTimeoutMilliseconds = 30_000;
/** Code of the HTTP server's error when a request does not come in time. */
const requestTimeoutCode = "ERR_HTTP_REQUEST_TIMEOUT";
/** Statuses of requests that cannot be read, by the code of the HTTP server's error; 400 for any other. */
const malformedStatuses: Readonly<Record<string, string>> = {
  HPE_HEADER_OVERFLOW: "431 Request Header Fields Too Large",
  [requestTimeoutCode]: "408 Request Timeout",
};

/** Accepts requests of callers, checks them, reads their bodies and starts to process them. */
export class IngressServer {
  /** Its requests in flight. */
  readonly requests: RequestServer;
  private readonly server: Server;
  private readonly endingConnections: EndingConnections;

  private constructor(private readonly dependencies: IngressDependencies) {
    this.server = createServer(
      {
        maxHeaderSize: maxHeaderBytes,
        connectionsCheckingInterval: connectionCheckIntervalMilliseconds,
        requestTimeout: bodyTimeoutMilliseconds,
        noDelay: true,
        keepAlive: true,
        keepAliveInitialDelay: 1_000,
      },
      (request, response) => {
        this.serve(request, response);
      },
    );
    this.requests = RequestServer.create(this.server);
    this.endingConnections = EndingConnections.create(
      (socket) => this.requests.getRunningCountOn(socket),
      dependencies.isDraining,
    );
    this.server.on("clientError", (error: NodeJS.ErrnoException, socket: Socket) => {
      this.refuseMalformed(error, socket);
    });
  }

  /**
   * Creates a server that does not listen yet.
   * @param dependencies - Dependencies of the server.
   */
  static create(dependencies: IngressDependencies): IngressServer {
    return new IngressServer(dependencies);
  }

  /** Gets the port that the server listens on. */
  getPort(): number {
    const address = this.server.address();
    return typeof address === "object" && address !== null ? address.port : 0;
  }

  /** Applies the configured limits on requests of callers. */
  setLimits(limits: RequestLimits): void {
    this.server.keepAliveTimeout = limits.idleTimeoutMilliseconds;
    this.server.headersTimeout = limits.headerTimeoutMilliseconds;
  }

  private serve(request: IncomingMessage, response: ServerResponse): void {
    const { socket } = request;
    if (this.endingConnections.isEnding(socket)) {
      return;
    }
    const arrivedAt = this.dependencies.requestDependencies.getNow();
    const head = this.dependencies.requestDependencies.codec.readRequest(request.rawHeaders);
    const callerResponse = CallerResponse.create(response, head.id, () =>
      this.endingConnections.isLastOn(socket),
    );
    this.endingConnections.endAfterLast(response);
    const running = this.requests.add(response, () => {
      this.refuse(callerResponse, head, "daemon-stopping", "the body is not complete");
    });
    const decision = this.check(request, head);
    if (decision.kind === "refusal") {
      request.resume();
      this.refuse(callerResponse, head, decision.reason, `${head.authority}${request.url ?? ""}`);
      return;
    }
    const maxBytes = this.dependencies.getTable()?.limits.bodyBytes ?? 0;
    readBody(response, maxBytes, this.dependencies.requestDependencies.memory, {
      onComplete: (body) => {
        const accepted = this.createAcceptedRequest(request, head, decision, body, arrivedAt);
        this.startIfServed(accepted, running, callerResponse);
      },
      onTooLarge: () => {
        if (!response.writableEnded) {
          this.refuse(
            callerResponse,
            head,
            "body-too-large",
            `more than ${String(maxBytes)} bytes`,
          );
        }
      },
      onNoMemory: () => {
        if (!response.writableEnded) {
          this.refuse(callerResponse, head, "memory-used-up", "no memory for the body");
        }
      },
      onIncomplete: ({ message }) => {
        this.dependencies.requestDependencies.record("info", "request.incomplete", {
          request: head.id,
          detail: message,
        });
      },
    });
  }

  private check(
    request: IncomingMessage,
    head: RequestHead,
  ): RequestApproval | { readonly kind: "refusal"; readonly reason: RefusalName } {
    const { getTable, bounds, requestDependencies } = this.dependencies;
    const table = getTable();
    if (getHeaderBytes(request) > (table?.limits.headerBytes ?? maxHeaderBytes)) {
      return { kind: "refusal", reason: "headers-too-large" };
    }
    const identity = { authority: head.authority, path: request.url ?? "", key: head.key };
    const age = requestDependencies.getAgeMilliseconds();
    const decision = checkRequest(table, age, identity, bounds);
    // Without an id no answer could be told to be that of the request; two hosts name two routes.
    const isInvalid = head.id === "" || getHeaderCount(request, "host") > 1;
    return decision.kind === "pass" && isInvalid
      ? { kind: "refusal", reason: "invalid-request" }
      : decision;
  }

  private createAcceptedRequest(
    { method, url, headers }: IncomingMessage,
    head: RequestHead,
    approval: RequestApproval,
    body: Buffer,
    arrivedAt: number,
  ): AcceptedRequest {
    const callerTimeoutMilliseconds = head.callerTimeoutMilliseconds ?? defaultTimeoutMilliseconds;
    const timeoutMilliseconds = Math.min(
      callerTimeoutMilliseconds - responseMarginMilliseconds,
      approval.route.timeoutMilliseconds,
    );
    const request = {
      head,
      method: method ?? "GET",
      path: url ?? "/",
      body,
      hasBody:
        headers["content-length"] !== undefined || headers["transfer-encoding"] !== undefined,
      approval,
      service: getTargetService(approval.route, this.dependencies.getRandom()),
      arrivedAt,
      deadline: arrivedAt + timeoutMilliseconds,
      forwarded: undefined,
    };
    return { ...request, content: getRequestContent(request) };
  }

  /** Sends a request on, unless it was ended before its body was complete or comes too late in a stop. */
  private startIfServed(
    request: AcceptedRequest,
    running: RunningRequest,
    callerResponse: CallerResponse,
  ): void {
    if (running.response.writableEnded) {
      return;
    }
    if (this.dependencies.isServed(request.deadline)) {
      this.start(request, running, callerResponse);
    } else {
      this.refuse(callerResponse, request.head, "daemon-stopping", "too late to be answered");
    }
  }

  private start(
    request: AcceptedRequest,
    running: RunningRequest,
    callerResponse: CallerResponse,
  ): void {
    const { requestDependencies } = this.dependencies;
    trackActiveRequest(running, ActiveRequest.start(requestDependencies, request, callerResponse));
  }

  private refuse(
    callerResponse: CallerResponse,
    head: RequestHead,
    name: RefusalName,
    detail: string,
  ): void {
    callerResponse.refuse(name, detail);
    const { record, metrics, getVersion, getAgeMilliseconds } =
      this.dependencies.requestDependencies;
    const age = getAgeMilliseconds();
    record("info", "request.refused", {
      request: head.id,
      reason: name,
      detail,
      version: getVersion(),
      age: Number.isFinite(age) ? Math.round(age) : -1,
    });
    metrics.requests.inc({ kind: "none", outcome: name });
  }

  private refuseMalformed(error: NodeJS.ErrnoException, socket: Socket): void {
    const code = error.code ?? "unknown";
    this.dependencies.requestDependencies.record("info", "connection.refused", {
      code,
      detail: error.message,
    });
    if (code === requestTimeoutCode && this.requests.areCompleteOn(socket)) {
      // The requests before this one are answered first.
      this.endingConnections.add(socket);
      return;
    }
    // A response that is due on the connection would be mixed with the refusal.
    const isAnswerDue = this.requests.getRunningCountOn(socket) > 0;
    const isUnused = socket.bytesRead === 0;
    if (!socket.writable || code === "ECONNRESET" || isAnswerDue || isUnused) {
      socket.destroy();
      return;
    }
    const status = malformedStatuses[code] ?? "400 Bad Request";
    socket.end(`HTTP/1.1 ${status}\r\nConnection: close\r\nContent-Length: 0\r\n\r\n`);
  }
}

/** Gets how often a request has a header; its name is in lower case. */
function getHeaderCount({ rawHeaders }: IncomingMessage, name: string): number {
  return rawHeaders.filter((text, index) => index % 2 === 0 && text.toLowerCase() === name).length;
}

/** Gets the size of the request line and the headers, separators included. */
function getHeaderBytes({ method, url, rawHeaders }: IncomingMessage): number {
  const separatorBytes = 2;
  const texts = [method ?? "", url ?? "", ...rawHeaders];
  return texts.reduce((sum, text) => sum + text.length + separatorBytes, 0);
}
