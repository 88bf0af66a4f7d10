import type { Server, ServerResponse } from "node:http";
import type { Socket } from "node:net";
import { listenOn, stopListening } from "../listening/index.js";
import { OpenConnections } from "./OpenConnections.js";
import { RunningRequests, type RunningRequest } from "./RunningRequests.js";

/** An HTTP server that knows its open connections and its requests in flight, so that a planned stop can end both. */
export class RequestServer {
  private readonly connections: OpenConnections;

  private constructor(
    private readonly server: Server,
    private readonly running: RunningRequests,
  ) {
    this.connections = OpenConnections.create(server);
  }

  /**
   * Creates the requests and connections of a server.
   * @param server - HTTP server that does not listen yet.
   * @param running - Its requests in flight, if something else adds them.
   */
  static create(server: Server, running = RunningRequests.create()): RequestServer {
    return new RequestServer(server, running);
  }

  /**
   * Starts to listen.
   * @param address - IPv4 address and port.
   * @param onError - Called with each later error of the listener.
   */
  async listen(address: string, onError: (error: Error) => void): Promise<void> {
    await listenOn(this.server, address, onError);
  }

  /**
   * Adds a request that has begun, until its response is closed.
   * @param response - Response of the HTTP server.
   * @param end - Responds to the request while its body is not complete.
   */
  add(response: ServerResponse, end: () => void): RunningRequest {
    return this.running.add(response, end);
  }

  /** Gets the number of requests in flight. */
  getRunningCount(): number {
    return this.running.getCount();
  }

  /** Gets the number of requests in flight on a connection; more than one when they are pipelined. */
  getRunningCountOn(socket: Socket): number {
    return this.running.getCountOn(socket);
  }

  /** Checks whether requests are in flight on a connection, each with its complete body. */
  areCompleteOn(socket: Socket): boolean {
    return this.running.areCompleteOn(socket);
  }

  /** Accepts the connections and reads the requests that have come so far. */
  async readArrived(): Promise<void> {
    await this.connections.readArrived();
  }

  /** Stops listening, and ends the connections that no request is in flight on. */
  close(): void {
    stopListening(this.server);
    this.connections.endIdle((socket) => this.running.getCountOn(socket) > 0);
  }

  /**
   * Responds to every request in flight.
   * @returns Number of requests that had no complete response.
   */
  endRequests(): number {
    return this.running.endAll();
  }

  /** Resolves when no request is in flight. */
  async waitUntilIdle(): Promise<void> {
    await this.running.waitUntilIdle();
  }
}
