import type { Socket } from "node:net";

const resetCode = "ECONNRESET";

/**
 * Checks whether a socket whose end was read was reset before the other side had ended it in order. Node.js reports a reset that
 * comes together with bytes as an end; an empty write takes the error, which is emitted then. After an end in order the
 * error of a later reset is another one.
 * @param socket - Socket that can be half open. One whose own end was sent can't be told and counts as ended in order.
 */
export function wasReset(socket: Socket): boolean {
  if (socket.errored === null && socket.writable) {
    socket.write("");
  }
  const error: NodeJS.ErrnoException | null = socket.errored;
  return error?.code === resetCode;
}
