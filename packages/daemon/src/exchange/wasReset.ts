import type { Socket } from "node:net";

/**
 * Checks whether a socket whose end was read was reset, rather than ended in order. Node.js reports a reset that comes together
 * with bytes as an end, and leaves the error on the socket; even an empty write takes it from there.
 * @param socket - Socket that can be half open; it is of no more use when it was reset.
 */
export function wasReset(socket: Socket): boolean {
  if (socket.errored === null && socket.writable) {
    socket.write("");
  }
  return socket.errored !== null;
}
