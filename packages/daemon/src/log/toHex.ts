const hashDigits = 8;

/**
 * Formats a 32-bit hash for log lines.
 * @param hash - Unsigned 32-bit integer.
 */
export function toHex(hash: number): string {
  return hash.toString(16).padStart(hashDigits, "0");
}
