import { createHash } from "node:crypto";
import type { IncomingHttpHeaders } from "node:http";

const digestPattern = /(?:^|,)\s*sha-256=:([A-Za-z0-9+/=]+):/;

/**
 * Checks whether a body matches its Content-Digest header (RFC 9530); true when the upstream sends
 * no such header.
 * @param headers - Headers of the response.
 * @param body - Whole body of the response.
 */
export function hasMatchingDigest(headers: IncomingHttpHeaders, body: Uint8Array): boolean {
  const expected = digestPattern.exec(String(headers["content-digest"] ?? ""))?.[1];
  return expected === undefined || createHash("sha256").update(body).digest("base64") === expected;
}
