/** Number of events of a complete stream. */
export const streamLength = 8;

/**
 * Gets the body of the response to a request.
 * @param id - Id of the request.
 */
export function getBody(id: string): string {
  return `answer to ${id} `.repeat(40);
}

/**
 * Gets an event of the response stream of a request.
 * @param id - Id of the request.
 * @param event - Number of the event, from 1.
 */
export function getEvent(id: string, event: number): string {
  return `id: ${String(event)}\ndata: piece ${String(event)} for ${id}\n\n`;
}

/**
 * Gets the complete response stream of a request.
 * @param id - Id of the request.
 */
export function getStream(id: string): string {
  return Array.from({ length: streamLength }, (_, index) => getEvent(id, index + 1)).join("");
}
