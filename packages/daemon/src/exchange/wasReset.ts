import type { Socket } from "node:net";

/**
 * Checks whether a socket whose end was read was reset, rather than ended in order. Node.js reports a reset that comes together
 * with bytes as an end. The kernel names the other side of a socket that was ended in order only, whether or not bytes
 * are still being written; the name must not have been asked for before, as Node.js keeps it.
 * @param socket - Socket that can be half open, and whose own side has not been ended.
 */
export function wasReset(socket: Socket): boolean {
  return socket.errored !== null || socket.remoteAddress === undefined;
}
