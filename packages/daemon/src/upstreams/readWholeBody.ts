import type { Readable } from "node:stream";
import { discardBody } from "./discardBody.js";

/**
 * Reads a body to its end. Returns undefined when it is interrupted or too large.
 * @param body - Body to read.
 * @param maxBytes - Size of the largest body to accept.
 */
export async function readWholeBody(body: Readable, maxBytes: number): Promise<Buffer | undefined> {
  const chunks: Buffer[] = [];
  let byteCount = 0;
  try {
    for await (const chunk of body) {
      const buffer = chunk as Buffer;
      byteCount += buffer.length;
      if (byteCount > maxBytes) {
        discardBody(body);
        return undefined;
      }
      chunks.push(buffer);
    }
  } catch {
    return undefined;
  }
  return Buffer.concat(chunks);
}
