/** Number of events of a complete stream. */
export const streamLength = 8;

/**
 * Gets the id of a call, which is the end of its path. Two calls may have one request id.
 * @param path - Path of the request.
 */
export function getCallId(path: string): string {
  return path.slice(path.lastIndexOf("/") + 1);
}

/**
 * Gets the body of the response to a request.
 * @param id - Id of the call.
 */
export function getBody(id: string): string {
  return `answer to ${id} `.repeat(40);
}

/** Largest number of bytes by which the events of two upstreams differ in length. */
const maxPaddingBytes = 23;

/**
 * Gets an event of the response stream of a request. Its length depends on the upstream, as an answer computed again
 * has another length.
 * @param id - Id of the call.
 * @param event - Number of the event, from 1.
 * @param source - Upstream that writes it.
 */
export function getEvent(id: string, event: number, source: string): string {
  const number = [...source].reduce((sum, character) => sum + character.charCodeAt(0), 0);
  const padding = ".".repeat(number % maxPaddingBytes);
  return `id: ${String(event)}\ndata: piece ${String(event)} for ${id} by ${source}${padding}\n\n`;
}

/**
 * Gets the response stream of a request, or the rest of it.
 * @param id - Id of the call.
 * @param source - Upstream that writes it.
 * @param lastEvent - Last event that the caller has; 0 when it has none.
 */
export function getStream(id: string, source: string, lastEvent = 0): string {
  return Array.from({ length: Math.max(0, streamLength - lastEvent) }, (_, index) =>
    getEvent(id, lastEvent + index + 1, source),
  ).join("");
}

const largeBodyBytes = 40_000;

/**
 * Gets the body of a request, which ends with the id of its call.
 * @param id - Id of the call.
 * @param isLarge - Whether the body is too long for a few packets.
 */
export function getRequestBody(id: string, isLarge: boolean): string {
  const text = `act ${id}`;
  return isLarge ? text.padStart(largeBodyBytes, "-") : text;
}

/**
 * Checks whether a body is that of the request, unchanged and complete.
 * @param id - Id of the call.
 * @param body - Body that an upstream received.
 */
export function isRequestBody(id: string, body: string): boolean {
  return body === getRequestBody(id, false) || body === getRequestBody(id, true);
}
