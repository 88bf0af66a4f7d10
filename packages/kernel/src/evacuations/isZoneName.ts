const maxNameLength = 256;

/**
 * Checks whether a text can be the name of a zone that upstreams publish.
 * @param text - The text.
 */
export function isZoneName(text: string): boolean {
  return text.length > 0 && text.length <= maxNameLength;
}
