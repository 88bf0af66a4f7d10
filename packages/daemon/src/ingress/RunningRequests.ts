import type { ServerResponse } from "node:http";
import type { Socket } from "node:net";
import type { ActiveRequest } from "./ActiveRequest.js";
import { endOfService } from "./TimeLimit.js";

/** A request whose response is not written yet. */
export interface RunningRequest {
  readonly response: ServerResponse;
  /** Responds at once, because the daemon ends its service; changes when the request is sent on. */
  end: () => void;
}

/**
 * Connects a request in flight with what serves it, from when it is sent on.
 * @param running - The request.
 * @param activeRequest - What serves it.
 */
export function trackActiveRequest(
  running: RunningRequest,
  activeRequest: Pick<ActiveRequest, "handleTimeLimit" | "handleCallerClosed">,
): void {
  const { response } = running;
  running.end = () => {
    activeRequest.handleTimeLimit(endOfService);
  };
  response.once("close", () => {
    if (!response.writableFinished) {
      activeRequest.handleCallerClosed();
    }
  });
}

/** Requests in flight, so that a planned stop can wait for their ends, and end those that remain. */
export class RunningRequests {
  private readonly requests = new Map<ServerResponse, RunningRequest>();
  /** Connections whose close ends the requests on them. */
  private readonly sockets = new WeakSet<Socket>();
  private onIdle: (() => void) | undefined;

  private constructor() {
    // Created through the static method.
  }

  /** Creates an empty set. */
  static create(): RunningRequests {
    return new RunningRequests();
  }

  /** Gets the number of requests in flight. */
  getCount(): number {
    return this.requests.size;
  }

  /**
   * Adds a request that has begun, until its response is closed.
   * @param response - Response of the HTTP server.
   * @param end - Responds to the request while its body is not complete.
   */
  add(response: ServerResponse, end: () => void): RunningRequest {
    const request: RunningRequest = { response, end };
    this.requests.set(response, request);
    response.once("close", () => {
      this.remove(request);
    });
    this.watch(response.req.socket);
    return request;
  }

  /**
   * Changes how a request is ended, from when it is served.
   * @param response - Response that was added.
   * @param end - Responds to the request.
   */
  setEnd(response: ServerResponse, end: () => void): void {
    const request = this.requests.get(response);
    if (request !== undefined) {
      request.end = end;
    }
  }

  /** Gets the number of requests in flight on a connection; more than one when they are pipelined. */
  getCountOn(socket: Socket): number {
    return this.getRequestsOn(socket).length;
  }

  /** Checks whether requests are in flight on a connection, each with its complete body. */
  areCompleteOn(socket: Socket): boolean {
    const requests = this.getRequestsOn(socket);
    return requests.length > 0 && requests.every(({ response }) => response.req.complete);
  }

  /**
   * Ends every request that has no complete response yet.
   * @returns Number of these requests.
   */
  endAll(): number {
    const unanswered = [...this.requests.values()].filter(
      ({ response }) => !response.writableEnded,
    );
    unanswered.forEach((request) => {
      request.end();
    });
    return unanswered.length;
  }

  /** Ends every request without a complete response whose body is not complete either. */
  endIncomplete(): void {
    [...this.requests.values()]
      .filter(({ response }) => !response.writableEnded && !response.req.complete)
      .forEach((request) => {
        request.end();
      });
  }

  /** Resolves when no request is in flight. */
  async waitUntilIdle(): Promise<void> {
    if (this.requests.size > 0) {
      await new Promise<void>((resolve) => {
        this.onIdle = resolve;
      });
    }
  }

  /**
   * Closes the responses that waited behind another when their connection closed. The HTTP server tells the close of
   * the one that was being written only.
   */
  private watch(socket: Socket): void {
    if (this.sockets.has(socket)) {
      return;
    }
    this.sockets.add(socket);
    socket.once("close", () => {
      this.getRequestsOn(socket).forEach(({ response }) => response.emit("close"));
    });
  }

  private getRequestsOn(socket: Socket): readonly RunningRequest[] {
    return [...this.requests.values()].filter(({ response }) => response.req.socket === socket);
  }

  private remove(request: RunningRequest): void {
    this.requests.delete(request.response);
    if (this.requests.size === 0) {
      this.onIdle?.();
    }
  }
}
