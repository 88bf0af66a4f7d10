import type { ServerResponse } from "node:http";
import type { Socket } from "node:net";
import { endConnection } from "./OpenConnections.js";

/** Gets the number of requests in flight on a connection. */
export type RequestCount = (socket: Socket) => number;

/** Connections on which no further request is served, because their last response is known. */
export class EndingConnections {
  private readonly sockets = new WeakSet<Socket>();

  private constructor(
    private readonly getRunningCountOn: RequestCount,
    private readonly isDraining: () => boolean,
  ) {}

  /**
   * Creates an empty set.
   * @param getRunningCountOn - Gets the number of requests in flight on a connection.
   * @param isDraining - True while the daemon stops: each response is the last on its connection.
   */
  static create(getRunningCountOn: RequestCount, isDraining: () => boolean): EndingConnections {
    return new EndingConnections(getRunningCountOn, isDraining);
  }

  /**
   * Ends a connection after the responses to the requests in flight on it.
   * @param socket - The connection.
   */
  add(socket: Socket): void {
    this.sockets.add(socket);
  }

  /**
   * Checks whether a request that comes now is left without a response: it was sent while this side ended the
   * connection, and the caller sees the end.
   * @param socket - Connection of the request.
   */
  isEnding(socket: Socket): boolean {
    return socket.writableEnded || this.sockets.has(socket);
  }

  /**
   * Checks whether no response follows on a connection: in a planned stop, or when the connection was added, unless
   * further requests are in flight.
   * @param socket - Connection of the response.
   */
  isLastOn(socket: Socket): boolean {
    const isLast =
      (this.isDraining() || this.sockets.has(socket)) && this.getRunningCountOn(socket) <= 1;
    if (isLast) {
      this.sockets.add(socket);
    }
    return isLast;
  }

  /**
   * Ends the connection of a response after it if it was the last. The head of a response that had begun before a
   * planned stop, for example, could not announce this with `Connection: close`.
   * @param response - Response of the HTTP server that is not written yet.
   */
  endAfterLast(response: ServerResponse): void {
    const { socket } = response.req;
    response.once("finish", () => {
      if (this.isLastOn(socket)) {
        endConnection(socket);
      }
    });
  }
}
