import type { Socket } from "node:net";
import { Problem } from "../errors/index.js";
import { toProblemBody } from "./ResponseWriter.js";

const resetCode = "ECONNRESET";

/**
 * Answers bytes that are no request, or a head that does not come in time, and closes the connection.
 * The key of an act may be among the bytes that were not read, so that its outcome is unknown and no
 * status states otherwise.
 * @param error - Error of the HTTP server.
 * @param socket - Connection of the caller.
 * @param requestId - Id of the answer.
 * @param isAnswerDue - True when a request on the connection has no answer yet; the refusal would be
 *   taken for it, so that the connection is closed without one.
 */
export function refuseUnreadable(
  error: NodeJS.ErrnoException,
  socket: Socket,
  requestId: string,
  isAnswerDue: boolean,
): void {
  if (error.code === resetCode || !socket.writable || isAnswerDue) {
    socket.destroy();
    return;
  }
  const detail = `the request cannot be read: ${error.message}`;
  const problem = Problem.create("invalid-request", detail, "unknown");
  const body = toProblemBody(problem, requestId);
  const lines = [
    `HTTP/1.1 ${String(problem.getStatus())} Bad Request`,
    "connection: close",
    "content-type: application/problem+json",
    `content-length: ${String(Buffer.byteLength(body))}`,
    `x-request-id: ${requestId}`,
    `x-outcome: ${problem.outcome}`,
    "",
    body,
  ];
  socket.end(lines.join("\r\n"));
}
