import type { ServerResponse } from "node:http";
import type { Socket } from "node:net";
import type { Script } from "./ScriptedUpstream.js";

/** An answer whose body does not end until the other side closes the connection. */
export interface EndlessAnswer {
  /** HTTP status. */
  readonly status: number;
  readonly contentType: string;
  /** Size of a piece of the body, in bytes. */
  readonly pieceBytes: number;
  /** Text that the body repeats; one that is no event by default. */
  readonly text?: string;
  /** Headers beside the request's id and the upstream's stamp, as alternating names and values. */
  readonly headers?: readonly string[];
  /** Whether the pieces are chunks; otherwise the body has neither a length nor chunks. */
  readonly isChunked?: boolean;
  /** Bytes a second at most; as fast as they are read by default. */
  readonly bytesPerSecond?: number;
}

const writeBytes = 65_536;
const writeIntervalMilliseconds = 5;
const millisecondsPerSecond = 1_000;
const firstErrorStatus = 400;

/**
 * Creates a script that sends an answer without end.
 * @param answer - What it sends.
 */
export function sendEndless(answer: EndlessAnswer): Script {
  const { status, contentType, headers = [], isChunked = true } = answer;
  return ({ id }, response) => {
    const { socket } = response;
    const stamp = status < firstErrorStatus ? ["Response-Stamp", `stamp-${id}`] : [];
    const framing = isChunked ? ["Transfer-Encoding", "chunked"] : ["Connection", "close"];
    const fields = [
      ...["Request-Id", id, ...stamp, "Content-Type", contentType],
      ...headers,
      ...framing,
    ];
    const lines = fields.flatMap((name, index) =>
      index % 2 === 0 ? [`${name}: ${fields[index + 1] ?? ""}\r\n`] : [],
    );
    socket?.write(`HTTP/1.1 ${String(status)} X\r\n${lines.join("")}\r\n`);
    writeEndlessly(response, createPieces(answer), answer.bytesPerSecond ?? Infinity);
  };
}

/** Creates the bytes of many pieces. */
function createPieces({ pieceBytes, text = "z", isChunked = true }: EndlessAnswer): Buffer {
  const body = text.repeat(Math.ceil(pieceBytes / text.length)).slice(0, pieceBytes);
  const piece = isChunked ? `${pieceBytes.toString(16)}\r\n${body}\r\n` : body;
  return Buffer.from(piece.repeat(Math.ceil(writeBytes / piece.length)));
}

function writeEndlessly({ socket }: ServerResponse, bytes: Buffer, bytesPerSecond: number): void {
  if (socket === null) {
    return;
  }
  const startedAt = performance.now();
  let sentBytes = 0;
  const timer = setInterval(() => {
    const seconds = (performance.now() - startedAt) / millisecondsPerSecond;
    while (isWritable(socket) && sentBytes < seconds * bytesPerSecond) {
      sentBytes += bytes.length;
      socket.write(bytes);
    }
  }, writeIntervalMilliseconds);
  socket.on("error", () => undefined);
  socket.once("close", () => {
    clearInterval(timer);
  });
}

function isWritable(socket: Socket): boolean {
  return socket.writable && !socket.writableNeedDrain;
}
