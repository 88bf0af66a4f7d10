import type { Socket } from "node:net";

/**
 * Resets a socket, or destroys it when its end is still being sent.
 *
 * `resetAndDestroy` then neither resets nor closes the socket in Node.js, and its handle would leak
 * until the process exits.
 * @param socket - Socket to reset.
 */
export function resetSocket(socket: Socket): void {
  if (socket.writableEnded && !socket.writableFinished) {
    socket.destroy();
  } else {
    socket.resetAndDestroy();
  }
}
