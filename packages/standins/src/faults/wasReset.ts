import type { Socket } from "node:net";

/**
 * Checks whether a socket whose end was read was reset, rather than ended in order. Node.js reports a reset that comes together
 * with bytes as an end. The kernel then names no other side, as it does of a socket that both sides have ended.
 * @param socket - Socket that can be half open.
 */
export function wasReset(socket: Socket): boolean {
  return !socket.writableEnded && socket.remoteAddress === undefined;
}
