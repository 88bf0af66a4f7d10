import type { Readable } from "node:stream";

/**
 * Closes a body that is not read, and ignores later errors of its connection.
 * @param body - Body of a response.
 */
export function discardBody(body: Readable): void {
  body.on("error", () => undefined);
  body.destroy();
}
