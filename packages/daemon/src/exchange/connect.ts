import { connect as openSocket, type Socket } from "node:net";
import type { buildConnector } from "undici";

/** Time for a connection to an upstream of the region; a dark host never answers. */
const connectTimeoutMilliseconds = 250;
const keepAliveDelayMilliseconds = 1_000;

/** How the sockets of one connection have ended. */
export interface SocketState {
  /** True once the peer or the network broke the connection, rather than ending it. */
  wasBroken: boolean;
}

/**
 * Creates a function that opens sockets to one address and notes when one breaks.
 *
 * An answer without length ends with its connection; the HTTP client takes a reset for that end as
 * well, so the difference is noted here.
 * @param state - Where a break is noted.
 */
export function createConnector(state: SocketState): buildConnector.connector {
  return ({ hostname, port }, callback) => {
    const socket = openSocket({ host: hostname, port: Number(port), noDelay: true });
    socket.setKeepAlive(true, keepAliveDelayMilliseconds);
    const timer = setTimeout(() => {
      socket.destroy(new Error(`no connection within ${String(connectTimeoutMilliseconds)} ms`));
    }, connectTimeoutMilliseconds);
    const onEarlyError = (error: Error): void => {
      clearTimeout(timer);
      callback(error, null);
    };
    socket.once("error", onEarlyError);
    socket.once("connect", () => {
      clearTimeout(timer);
      socket.off("error", onEarlyError);
      recordSocketErrors(socket, state);
      callback(null, socket);
    });
  };
}

function recordSocketErrors(socket: Socket, state: SocketState): void {
  socket.on("error", () => {
    state.wasBroken = true;
  });
}

/**
 * Finds out whether an upstream can be reached, by a connection that carries nothing.
 * @param address - IPv4 address and port.
 */
export async function canConnect(address: string): Promise<boolean> {
  const [host = "", port = ""] = address.split(":");
  const socket = openSocket({ host, port: Number(port) });
  const timer = setTimeout(() => socket.destroy(), connectTimeoutMilliseconds);
  const isConnected = await new Promise<boolean>((resolve) => {
    socket.once("connect", () => {
      resolve(true);
    });
    socket.once("error", () => {
      resolve(false);
    });
    socket.once("close", () => {
      resolve(false);
    });
  });
  clearTimeout(timer);
  socket.destroy();
  return isConnected;
}
