import type { ServerResponse } from "node:http";
import type { Socket } from "node:net";
import type { ReceivedRequest } from "./ScriptedUpstream.js";

/** A body that does not end until the other side closes the connection. */
export interface EndlessBody {
  /** Size of a piece of the body, in bytes. */
  readonly pieceBytes: number;
  /** Text that the body repeats; one that is no event by default. */
  readonly text?: string;
  /** Whether the pieces are chunks; otherwise the body has neither a length nor chunks. */
  readonly isChunked?: boolean;
  /** Bytes a second at most; as fast as they are read by default. */
  readonly bytesPerSecond?: number;
}

/** An answer with such a body. */
export interface EndlessAnswer extends EndlessBody {
  /** HTTP status. */
  readonly status: number;
  readonly contentType: string;
  /** Stamp of the upstream; made from the request's id by default. */
  readonly stamp?: string;
  /** Headers beside the request's id and the upstream's stamp, as alternating names and values. */
  readonly headers?: readonly string[];
}

const writeBytes = 65_536;
const writeIntervalMilliseconds = 5;
const millisecondsPerSecond = 1_000;
const firstErrorStatus = 400;

/**
 * Creates a script that sends an answer without end.
 * @param answer - What it sends.
 */
export function sendEndless(
  answer: EndlessAnswer,
): (request: Pick<ReceivedRequest, "id">, response: ServerResponse) => void {
  const { status, contentType, headers = [], isChunked = true } = answer;
  return ({ id }, { socket }) => {
    if (socket === null) {
      return;
    }
    const ownStamp = answer.stamp ?? `stamp-${id}`;
    const stamp = status < firstErrorStatus ? ["Response-Stamp", ownStamp] : [];
    const framing = isChunked ? ["Transfer-Encoding", "chunked"] : ["Connection", "close"];
    const fields = [
      ...["Request-Id", id, ...stamp, "Content-Type", contentType],
      ...headers,
      ...framing,
    ];
    const lines = fields.flatMap((name, index) =>
      index % 2 === 0 ? [`${name}: ${fields[index + 1] ?? ""}\r\n`] : [],
    );
    socket.write(`HTTP/1.1 ${String(status)} X\r\n${lines.join("")}\r\n`);
    writeEndlessly(socket, answer);
  };
}

/** Creates the bytes of many pieces. */
function createPieces({ pieceBytes, text = "z", isChunked = true }: EndlessBody): Buffer {
  const body = text.repeat(Math.ceil(pieceBytes / text.length)).slice(0, pieceBytes);
  const piece = isChunked ? `${pieceBytes.toString(16)}\r\n${body}\r\n` : body;
  return Buffer.from(piece.repeat(Math.ceil(writeBytes / piece.length)));
}

/**
 * Writes a body without end to a connection, until the other side closes it.
 * @param socket - The connection, on which the head has been written.
 * @param body - What is written.
 */
export function writeEndlessly(socket: Socket, body: EndlessBody): void {
  const { bytesPerSecond = Infinity } = body;
  const bytes = createPieces(body);
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
