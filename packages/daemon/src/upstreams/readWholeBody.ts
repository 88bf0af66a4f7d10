import type { Readable } from "node:stream";
import { discardBody } from "./discardBody.js";

/**
 * Reads a body to its end; undefined when it was cut off or is too large.
 * @param body - Body to read.
 * @param maxBytes - Largest body to take.
 */
export async function readWholeBody(body: Readable, maxBytes: number): Promise<Buffer | undefined> {
  const parts: Buffer[] = [];
  let bytes = 0;
  try {
    for await (const part of body) {
      const octets = part as Buffer;
      bytes += octets.length;
      if (bytes > maxBytes) {
        discardBody(body);
        return undefined;
      }
      parts.push(octets);
    }
  } catch {
    return undefined;
  }
  return Buffer.concat(parts);
}
