const fnvOffset = 0x811c9dc5;
const fnvPrime = 0x01000193;
const hashValueCount = 2 ** 32;

/**
 * Gets a 32-bit hash of a text (FNV-1a with a final mix); every daemon gets the same value.
 * @param text - Text to hash.
 */
export function getHash(text: string): number {
  let hash = fnvOffset;
  for (let index = 0; index < text.length; index += 1) {
    hash = Math.imul(hash ^ text.charCodeAt(index), fnvPrime);
  }
  return mix(hash);
}

/**
 * Gets a number of at least 0 and below 1 that depends only on the text.
 * @param text - Text to hash.
 */
export function getFraction(text: string): number {
  return getHash(text) / hashValueCount;
}

function mix(value: number): number {
  let hash = value;
  hash = Math.imul(hash ^ (hash >>> 16), 0x85ebca6b);
  hash = Math.imul(hash ^ (hash >>> 13), 0xc2b2ae35);
  return (hash ^ (hash >>> 16)) >>> 0;
}
