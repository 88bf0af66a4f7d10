import { BodyBuffer, type BodyBound, type BodyLimits } from "./BodyBuffer.js";
import { MemoryBudget } from "./MemoryBudget.js";

/** Reads of which each is bounded and few are under way at a time have no common bound. */
const unbounded = MemoryBudget.create(Infinity);

/**
 * Reads a body to its end, or until it exceeds a bound; the rest is not read then.
 * @param pieces - Pieces of the body as they arrive.
 * @param limits - Bounds of the body.
 * @param memory - Memory that it is kept in until it is complete.
 * @returns The body, or the bound that it exceeds. Rejects when the body is interrupted.
 */
export async function collectBody(
  pieces: AsyncIterable<Uint8Array>,
  limits: BodyLimits,
  memory = unbounded,
): Promise<Buffer | BodyBound> {
  const share = memory.addShare();
  const buffer = BodyBuffer.create(limits, share);
  try {
    for await (const piece of pieces) {
      const bound = buffer.push(piece);
      if (bound !== undefined) {
        return bound;
      }
    }
    return buffer.toBuffer();
  } finally {
    share.release();
  }
}
