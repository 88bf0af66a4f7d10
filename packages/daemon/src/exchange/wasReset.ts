import type { Socket } from "node:net";

const resetCode = "ECONNRESET";

/**
 * Checks whether a socket whose end was read was reset before the other side had ended it in order. Node.js reports a reset that
 * comes together with bytes as an end, and leaves the error on the socket; even an empty write takes it from there. After
 * an end in order the error of a later reset is another one.
 * @param socket - Socket that can be half open, and whose own side has not been ended; it is of no more use if it was reset.
 */
export function wasReset(socket: Socket): boolean {
  if (socket.writableLength > 0) {
    // An empty write would wait behind these bytes. The kernel names the other side unless the socket was reset.
    return socket.remoteAddress === undefined;
  }
  if (socket.errored === null && socket.writable) {
    socket.write("");
  }
  const error: NodeJS.ErrnoException | null = socket.errored;
  return error?.code === resetCode;
}
