const statusesWithoutBody: ReadonlySet<number> = new Set([204, 304]);

/**
 * Checks whether an answer may have a body; one that may not is complete with its head.
 * @param status - Its status.
 * @param isHeadOnly - Whether the request's method allows no response body.
 */
export function allowsBody(status: number, isHeadOnly: boolean): boolean {
  return !isHeadOnly && !statusesWithoutBody.has(status);
}
