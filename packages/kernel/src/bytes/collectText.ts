import { collectBody } from "./collectBody.js";

/** Bounds of a text of another process of this project, or of a short answer. */
const textLimits = { maxBytes: 67_108_864, maxPieces: 262_144 };

/** A text exceeds its bounds. */
export class TextTooLargeError extends Error {
  readonly code = "text-too-large";

  /** Creates the error. */
  static create(): TextTooLargeError {
    return new TextTooLargeError(`the text is larger than ${String(textLimits.maxBytes)} bytes`);
  }
}

/**
 * Reads a body as text. Rejects with a {@link TextTooLargeError} when it is too large, or with the error that interrupts it.
 * @param pieces - Pieces of the body as they arrive.
 */
export async function collectText(pieces: AsyncIterable<Uint8Array>): Promise<string> {
  const content = await collectBody(pieces, textLimits);
  if (typeof content === "string") {
    throw TextTooLargeError.create();
  }
  return content.toString("utf8");
}
