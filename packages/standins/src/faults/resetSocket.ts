import type { Socket } from "node:net";

/**
 * Resets a socket. One that is sending its end is closed without a reset: Node.js neither resets nor
 * closes it then, so that its handle stays for the life of the process.
 * @param socket - Socket to reset.
 */
export function resetSocket(socket: Socket): void {
  if (socket.writableEnded && !socket.writableFinished) {
    socket.destroy();
  } else {
    socket.resetAndDestroy();
  }
}
