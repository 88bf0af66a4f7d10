import { connect as openSocket, type Socket } from "node:net";
import type { buildConnector } from "undici";
import { wasReset } from "./wasReset.js";

/** Time to connect to an upstream in the region; a host that is down never responds. */
const connectTimeoutMilliseconds = 250;
const keepAliveDelayMilliseconds = 1_000;

/** State of the socket of one connection; the HTTP client may open another one in its place. */
export interface SocketState {
  /** True once the socket has failed or was reset, rather than being ended in order. */
  wasBroken: boolean;
  /** True once the last try to open a socket has failed. */
  hasConnectFailed: boolean;
  /** Called when the socket has ended, also by a reset, and all its bytes were read, before the HTTP client learns it. */
  onEnded: () => void;
}

/** Code of a socket that was reset, which the HTTP client does not take for the end of an answer. */
const brokenCode = "EPIPE";
const resetCode = "ECONNRESET";

/**
 * Creates a connector that opens sockets and records when one breaks.
 *
 * A response without a length ends with its connection. The HTTP client treats a reset as that end
 * too, so resets are recorded here and get another code. It throws at either end of a response that is paused.
 * @param state - Where a broken socket is recorded.
 * @param localAddress - Address of this host to connect from; any by default.
 */
export function createConnector(
  state: SocketState,
  localAddress?: string,
): buildConnector.connector {
  return ({ hostname, port }, callback) => {
    const target = { host: hostname, port: Number(port), noDelay: true, allowHalfOpen: true };
    const socket = openSocket(localAddress === undefined ? target : { ...target, localAddress });
    socket.setKeepAlive(true, keepAliveDelayMilliseconds);
    limitConnectTime(socket);
    const onEarlyError = (error: Error): void => {
      state.hasConnectFailed = true;
      callback(error, null);
    };
    socket.once("error", onEarlyError);
    socket.once("connect", () => {
      socket.off("error", onEarlyError);
      state.wasBroken = false;
      state.hasConnectFailed = false;
      recordEnds(socket, state);
      callback(null, socket);
    });
  };
}

/**
 * Ends a socket that is not connected in time. What came while this process stood still is taken before.
 * @param socket - Socket that is being connected.
 */
export function limitConnectTime(socket: Socket): void {
  const timer = setTimeout(() => {
    setImmediate(() => {
      if (socket.connecting) {
        socket.destroy(new Error(`no connection within ${String(connectTimeoutMilliseconds)} ms`));
      }
    });
  }, connectTimeoutMilliseconds);
  const stop = (): void => {
    clearTimeout(timer);
  };
  socket.once("connect", stop);
  socket.once("close", stop);
}

function recordEnds(socket: Socket, state: SocketState): void {
  socket.on("error", (error: NodeJS.ErrnoException) => {
    state.wasBroken = true;
    error.code = error.code === resetCode ? brokenCode : error.code;
  });
  socket.on("end", () => {
    state.wasBroken ||= wasReset(socket);
    socket.end();
    state.onEnded();
  });
}

/**
 * Checks whether an upstream can be reached, by opening a connection and closing it unused.
 * @param address - IPv4 address and port.
 */
export async function canConnect(address: string): Promise<boolean> {
  const [host = "", port = ""] = address.split(":");
  const socket = openSocket({ host, port: Number(port) });
  limitConnectTime(socket);
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
  socket.destroy();
  return isConnected;
}
