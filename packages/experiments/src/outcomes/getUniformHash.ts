import { createHash } from "node:crypto";

const hashRange = 2 ** 32;

/**
 * Gets a number in [0, 1) that follows from a text, so that it does not depend on the order of requests.
 * @param text - Any text.
 */
export function getUniformHash(text: string): number {
  return createHash("sha1").update(text).digest().readUInt32BE(0) / hashRange;
}
