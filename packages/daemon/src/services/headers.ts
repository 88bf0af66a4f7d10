import type { IncomingHttpHeaders } from "node:http";
import type { CallerRequest } from "../callers/CallerRequest.js";

/** Hop-by-hop headers, and headers that only the daemon may set. */
const strippedHeaders = new Set([
  "authorization",
  "connection",
  "content-length",
  "expect",
  "forwarded",
  "host",
  "idempotency-key",
  "keep-alive",
  "proxy-authenticate",
  "proxy-authorization",
  "proxy-connection",
  "te",
  "trailer",
  "transfer-encoding",
  "upgrade",
  "via",
  "x-attempt-id",
  "x-deadline",
  "x-outcome",
  "x-priority",
  "x-real-ip",
  "x-request-id",
  "x-team",
]);
const strippedPrefixes = ["x-forwarded-", "x-peer-"];

/**
 * Gets the headers of a request to a service.
 * @param request - Request of the caller.
 */
export function getForwardedHeaders(request: CallerRequest): Record<string, string> {
  return {
    ...getEndToEndHeaders(request.headers),
    "x-request-id": request.id,
    "x-team": request.team.name,
    "x-deadline": String(request.deadline),
  };
}

/**
 * Gets the headers of a request or response that may be forwarded.
 * @param headers - Headers as received.
 */
export function getEndToEndHeaders(
  headers: IncomingHttpHeaders | CallerRequest["headers"],
): Record<string, string> {
  const connectionHeaders = new Set(
    String(headers.connection ?? "")
      .toLowerCase()
      .split(/\s*,\s*/),
  );
  const forwarded = Object.entries(headers).filter(([name, value]) => {
    const isStripped =
      strippedHeaders.has(name) || strippedPrefixes.some((prefix) => name.startsWith(prefix));
    return value !== undefined && !isStripped && !connectionHeaders.has(name);
  });
  return Object.fromEntries(forwarded.map(([name, value]) => [name, String(value)]));
}
