import type { IncomingMessage } from "node:http";

/** Receives the result of reading a body. One of the functions is called, once. */
export interface BodyListener {
  readonly onComplete: (body: Buffer) => void;
  readonly onTooLarge: () => void;
  /** The caller closed the connection before the body was complete. */
  readonly onIncomplete: (error: Error) => void;
}

/**
 * Reads the complete body of a request. A body that is too large is read to its end and discarded.
 * @param request - Request of the HTTP server.
 * @param maxBytes - Largest size that is accepted.
 * @param listener - Receives the result.
 */
export function readBody(request: IncomingMessage, maxBytes: number, listener: BodyListener): void {
  const chunks: Buffer[] = [];
  let bytes = 0;
  request.on("data", (chunk: Buffer) => {
    const wasTooLarge = bytes > maxBytes;
    bytes += chunk.length;
    if (bytes <= maxBytes) {
      chunks.push(chunk);
    } else if (!wasTooLarge) {
      listener.onTooLarge();
    }
  });
  request.on("end", () => {
    if (bytes <= maxBytes) {
      listener.onComplete(chunks.length === 1 && chunks[0] ? chunks[0] : Buffer.concat(chunks));
    }
  });
  request.on("error", listener.onIncomplete);
}
