import type { Socket } from "node:net";

/**
 * Checks whether a socket whose end was read was reset, rather than ended in order. Node.js reports a reset that comes together
 * with bytes as an end; an empty write takes the error, which is emitted then.
 * @param socket - Socket that can be half open. One whose own end was sent can't be told and counts as ended in order.
 */
export function wasReset(socket: Socket): boolean {
  if (socket.errored === null && socket.writable) {
    socket.write("");
  }
  return socket.errored !== null;
}
