import { BodyBuffer, type MemoryBudget } from "@pistachioway/kernel";
import type { ServerResponse } from "node:http";

/** Receives the result of reading a body. One of the functions is called, once. */
export interface BodyListener {
  readonly onComplete: (body: Buffer) => void;
  readonly onTooLarge: () => void;
  /** The memory for bodies is used up. */
  readonly onNoMemory: () => void;
  /** The caller closed the connection before the body was complete. */
  readonly onIncomplete: (error: Error) => void;
}

/** Size up to which a body that is not kept is read to its end, as a ratio of the largest that is kept. */
const maxDiscardedRatio = 4;

/**
 * Reads the complete body of a request. A body that cannot be kept is read on and discarded, so that the caller can
 * read the response, and its connection is closed when that takes too long. The body's memory is returned when the
 * response is closed.
 * @param response - Response to the request.
 * @param maxBytes - Largest size that is accepted.
 * @param memory - Memory that the body is kept in.
 * @param listener - Receives the result.
 */
export function readBody(
  response: ServerResponse,
  maxBytes: number,
  memory: MemoryBudget,
  listener: BodyListener,
): void {
  const { req: request } = response;
  let isKept = true;
  let bytes = 0;
  const stopKeeping = (tell: () => void): void => {
    if (isKept) {
      isKept = false;
      buffer.clear();
      tell();
    }
  };
  const share = memory.addShare(() => {
    stopKeeping(listener.onNoMemory);
  });
  const buffer = BodyBuffer.create({ maxBytes, maxPieces: Infinity }, share);
  response.once("close", () => {
    buffer.clear();
  });
  request.on("data", (chunk: Buffer) => {
    bytes += chunk.length;
    const bound = isKept ? buffer.push(chunk) : undefined;
    if (bound !== undefined) {
      stopKeeping(bound === "memory" ? listener.onNoMemory : listener.onTooLarge);
    } else if (bytes > maxDiscardedRatio * maxBytes) {
      request.destroy();
    }
  });
  request.on("end", () => {
    if (isKept) {
      share.pin();
      listener.onComplete(buffer.toBuffer());
    }
  });
  request.on("error", listener.onIncomplete);
}
