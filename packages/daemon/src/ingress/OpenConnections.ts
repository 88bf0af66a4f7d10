import type { Server } from "node:http";
import type { Socket } from "node:net";
import { setImmediate as nextTurn } from "node:timers/promises";

/** Time between the end of a connection and its forced close. */
const endTimeoutMilliseconds = 500;
/** Connections that the kernel keeps for a listener until it accepts them. */
const maxWaitingConnections = 511;

/**
 * Open connections of a server. Node's `closeIdleConnections` leaves out those on which no request
 * has come yet.
 */
export class OpenConnections {
  private readonly sockets = new Set<Socket>();
  private acceptedCount = 0;

  private constructor() {
    // Created through the static method.
  }

  /**
   * Creates the set of connections that a server accepts from now on.
   * @param server - Server that does not listen yet.
   */
  static create(server: Server): OpenConnections {
    const connections = new OpenConnections();
    server.on("connection", (socket: Socket) => {
      connections.add(socket);
    });
    return connections;
  }

  /**
   * Accepts the connections that wait in the kernel, and reads what has come on all. Each turn of the event loop reads
   * every connection and accepts one more. Closing the listener would reset those that wait.
   */
  async readArrived(): Promise<void> {
    for (let turns = 0; turns <= maxWaitingConnections; turns += 1) {
      const acceptedBefore = this.acceptedCount;
      await nextTurn();
      if (this.acceptedCount === acceptedBefore) {
        return;
      }
    }
  }

  /**
   * Ends the connections that no request is in flight on.
   * @param isBusy - Checks whether a request is in flight on a connection.
   */
  endIdle(isBusy: (socket: Socket) => boolean): void {
    [...this.sockets].filter((socket) => !isBusy(socket)).forEach(endConnection);
  }

  private add(socket: Socket): void {
    this.acceptedCount += 1;
    this.sockets.add(socket);
    socket.once("close", () => {
      this.sockets.delete(socket);
    });
  }
}

/**
 * Ends a connection in order, and closes it if the other side does not.
 * @param socket - The connection.
 */
export function endConnection(socket: Socket): void {
  socket.end();
  setTimeout(() => socket.destroy(), endTimeoutMilliseconds).unref();
}
