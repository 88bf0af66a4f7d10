import type { IncomingMessage } from "node:http";

/** What becomes of a body. One of the functions is called, once. */
export interface BodyListener {
  readonly onComplete: (body: Buffer) => void;
  readonly onTooLarge: () => void;
  /** The caller left before the body was whole. */
  readonly onIncomplete: (error: Error) => void;
}

/**
 * Reads a request's whole body. What follows a body that is too large is read and dropped.
 * @param request - Request of the HTTP server.
 * @param maxBytes - Largest size that is taken.
 * @param listener - Hears what becomes of it.
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
