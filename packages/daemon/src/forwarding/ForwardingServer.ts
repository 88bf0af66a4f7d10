import { isAllowedByNewer, type RouteTable } from "@pistachioway/kernel";
import { createServer, type IncomingMessage, type ServerResponse } from "node:http";
import type { Socket } from "node:net";
import {
  ActiveRequest,
  getRequestContent,
  readBody,
  RequestServer,
  trackActiveRequest,
  type AcceptedRequest,
  type ActiveRequestDependencies,
  type RunningRequest,
} from "../ingress/index.js";
import { ForwardedResponseWriter } from "./ForwardedResponseWriter.js";
import {
  decodeForwardedRequest,
  forwardedRequestHeader,
  forwardingPath,
  maxForwardedHeadBytes,
  type ForwardedRequest,
} from "./messages.js";

/** Dependencies of the server. */
export interface ForwardingServerDependencies {
  /** Dependencies of each request that the server starts. */
  readonly requestDependencies: ActiveRequestDependencies;
  readonly getTable: () => RouteTable | undefined;
  /** Checks whether a daemon of the fleet runs on a host; others are not served. */
  readonly isPeerHost: (host: string) => boolean;
  /** True while the daemon stops: it takes no further requests of peers. */
  readonly isDraining: () => boolean;
  /** True while the daemon has no processor time to spare. */
  readonly isBusy: () => boolean;
}

/** Reason for which a daemon does not take a request of a peer. */
type PeerRefusalName =
  "invalid-request" | "daemon-stopping" | "daemon-busy" | "configuration-differs";

/** Requests of peers in flight from which further ones are refused. */
const maxRunning = 512;
/** Shortest time between two log lines on connections and messages that are refused. */
const refusalLogMilliseconds = 1_000;
const maxDetailLength = 80;

/** Accepts requests that peers forward, and sends them to upstreams. Such requests are never forwarded again. */
export class ForwardingServer {
  /** The requests of peers in flight. */
  readonly requests: RequestServer;
  private refusalLoggedAt = -Infinity;

  private constructor(private readonly dependencies: ForwardingServerDependencies) {
    const options = { maxHeaderSize: maxForwardedHeadBytes, noDelay: true, keepAlive: true };
    const server = createServer(options, (request, response) => {
      this.serve(request, response);
    });
    this.requests = RequestServer.create(server);
    server.on("connection", (socket: Socket) => {
      this.checkPeer(socket);
    });
    server.on("clientError", (error: Error, socket: Socket) => {
      this.recordRefusal(socket, error.message);
      socket.destroy();
    });
  }

  /**
   * Creates a server that does not listen yet.
   * @param dependencies - Dependencies of the server.
   */
  static create(dependencies: ForwardingServerDependencies): ForwardingServer {
    return new ForwardingServer(dependencies);
  }

  private checkPeer(socket: Socket): void {
    const host = socket.remoteAddress ?? "";
    if (!this.dependencies.isPeerHost(host)) {
      this.recordRefusal(socket, "no daemon of the fleet is known on this host");
      socket.destroy();
    }
  }

  private serve(request: IncomingMessage, response: ServerResponse): void {
    const text = request.headers[forwardedRequestHeader];
    const forwarded = decodeForwardedRequest(Array.isArray(text) ? text[0] : text);
    const writer = ForwardedResponseWriter.create(response, forwarded?.head.id);
    const running = this.requests.add(response, () => {
      this.refuse(request, writer, "daemon-stopping", forwarded);
    });
    const name = this.getRefusalName(request, forwarded);
    if (forwarded === undefined || name !== undefined) {
      request.resume();
      this.refuse(request, writer, name ?? "invalid-request", forwarded);
      return;
    }
    const arrivedAt = this.dependencies.requestDependencies.getNow();
    readBody(response, forwarded.bodyBytes, this.dependencies.requestDependencies.memory, {
      onComplete: (body) => {
        if (response.writableEnded) {
          return;
        }
        const lateName = this.getLateRefusalName(forwarded, body);
        if (lateName === undefined) {
          this.start(toAcceptedRequest(forwarded, body, arrivedAt), running, writer);
        } else {
          this.refuse(request, writer, lateName, forwarded);
        }
      },
      onTooLarge: () => {
        if (!response.writableEnded) {
          this.refuse(request, writer, "invalid-request", forwarded);
        }
      },
      onNoMemory: () => {
        if (!response.writableEnded) {
          this.refuse(request, writer, "daemon-busy", forwarded);
        }
      },
      onIncomplete: () => undefined,
    });
  }

  private getRefusalName(
    { url }: IncomingMessage,
    forwarded: ForwardedRequest | undefined,
  ): PeerRefusalName | undefined {
    const { isDraining, isBusy, getTable } = this.dependencies;
    const maxBodyBytes = getTable()?.limits.bodyBytes ?? 0;
    if (url !== forwardingPath || forwarded === undefined || forwarded.bodyBytes > maxBodyBytes) {
      return "invalid-request";
    }
    if (isDraining()) {
      return "daemon-stopping";
    }
    if (isBusy() || this.requests.getRunningCount() > maxRunning) {
      return "daemon-busy";
    }
    const { head, path, version, service } = forwarded;
    const identity = { authority: head.authority, path, key: head.key };
    const isAllowed = isAllowedByNewer(getTable(), { identity, version, service });
    return isAllowed ? undefined : "configuration-differs";
  }

  /** Gets the reason for which a request is not taken once its body is complete. */
  private getLateRefusalName(
    { bodyBytes }: ForwardedRequest,
    body: Buffer,
  ): PeerRefusalName | undefined {
    if (body.length !== bodyBytes) {
      return "invalid-request";
    }
    return this.dependencies.isDraining() ? "daemon-stopping" : undefined;
  }

  private start(
    request: AcceptedRequest,
    running: RunningRequest,
    writer: ForwardedResponseWriter,
  ): void {
    const { requestDependencies } = this.dependencies;
    requestDependencies.metrics.takenOverRequests.inc({ result: "accepted" });
    trackActiveRequest(running, ActiveRequest.start(requestDependencies, request, writer));
  }

  private refuse(
    { socket }: IncomingMessage,
    writer: ForwardedResponseWriter,
    name: PeerRefusalName,
    forwarded: ForwardedRequest | undefined,
  ): void {
    const detail = `request "${forwarded?.head.id ?? ""}" of "${forwarded?.sender ?? ""}": ${name}`;
    this.recordRefusal(socket, detail);
    writer.refuseForPeer({ name, detail: name, end: "notSent" });
  }

  private recordRefusal({ remoteAddress }: Socket, detail: string): void {
    const { getNow, metrics, record } = this.dependencies.requestDependencies;
    metrics.takenOverRequests.inc({ result: "refused" });
    const now = getNow();
    if (now - this.refusalLoggedAt >= refusalLogMilliseconds) {
      this.refusalLoggedAt = now;
      const fields = { host: remoteAddress ?? "-", detail: detail.slice(0, maxDetailLength) };
      record("warn", "forwarding.refused", fields);
    }
  }
}

/** Creates the request of a peer as one of this daemon, which may run once. */
function toAcceptedRequest(
  forwarded: ForwardedRequest,
  body: Buffer,
  arrivedAt: number,
): AcceptedRequest {
  const { head, method, path, hasBody, route, team, service, sender, softwareVersion } = forwarded;
  const { triedUpstreams, remainingMilliseconds } = forwarded;
  const request = {
    head: {
      ...head,
      key: head.key,
      callerTimeoutMilliseconds: head.callerTimeoutMilliseconds,
      tokens: head.tokens,
      lastEventId: head.lastEventId,
      resumedRequestId: head.resumedRequestId,
    },
    method,
    path,
    body,
    hasBody,
    approval: {
      kind: "pass" as const,
      // The daemon that received the request decides on retries.
      route: { ...route, maxAttempts: 1 },
      team: team && { ...team, keys: [] },
    },
    service,
    arrivedAt,
    deadline: arrivedAt + remainingMilliseconds,
    forwarded: { sender, softwareVersion, triedUpstreams, lastEventId: forwarded.lastEventId },
  };
  return { ...request, content: getRequestContent(request) };
}
