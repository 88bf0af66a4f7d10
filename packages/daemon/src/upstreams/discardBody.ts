import type { Readable } from "node:stream";

/**
 * Closes a body that nobody reads; an error of its connection is of no interest any more.
 * @param body - Body of an answer.
 */
export function discardBody(body: Readable): void {
  body.on("error", () => undefined);
  body.destroy();
}
