import type { OutgoingHttpHeaders, ServerResponse } from "node:http";

/** Ways in which an upstream marks the end of a response: with chunks, with a length, or with its connection only. */
export const framings = ["chunks", "length", "none"] as const;

export type Framing = (typeof framings)[number];

const okStatus = 200;

/**
 * Writes the head of a success.
 * @param response - Response to write.
 * @param framing - How the end of its body is marked.
 * @param headers - Headers beside the framing.
 * @param bodyBytes - Length of its body.
 */
export function writeFramedHead(
  response: ServerResponse,
  framing: Framing,
  headers: OutgoingHttpHeaders,
  bodyBytes: number,
): void {
  if (framing === "none") {
    response.useChunkedEncodingByDefault = false;
    response.shouldKeepAlive = false;
  }
  const length = framing === "length" ? { "content-length": bodyBytes } : {};
  response.writeHead(okStatus, { ...headers, ...length });
}
