import { collectBody, type MemoryBudget } from "@pistachioway/kernel";
import type { Readable } from "node:stream";
import { discardBody } from "./discardBody.js";

const maxPieces = 65_536;

/** A body that is not read yet. */
export interface UnreadBody {
  readonly body: Readable;
  /** Memory that bodies are kept in until they are complete. */
  readonly memory: MemoryBudget;
}

/**
 * Reads a body to its end. Returns undefined when it is interrupted or too large.
 * @param response - The body and the memory for it.
 * @param maxBytes - Size of the largest body to accept.
 */
export async function readWholeBody(
  { body, memory }: UnreadBody,
  maxBytes: number,
): Promise<Buffer | undefined> {
  try {
    const content = await collectBody(body, { maxBytes, maxPieces }, memory);
    return typeof content === "string" ? undefined : content;
  } catch {
    return undefined;
  } finally {
    discardBody(body);
  }
}
