import xxhash from "xxhash-wasm";

const { h32, h32Raw } = await xxhash();
const hashCount = 2 ** 32;

/**
 * Hashes a name to an unsigned 32-bit integer, the same on every daemon.
 * @param text - Name of an engine, a daemon, a model or a chat.
 */
export function getHash(text: string): number {
  return h32(text) >>> 0;
}

/**
 * Hashes bytes to an unsigned 32-bit integer, the same on every daemon.
 * @param bytes - Body of a request.
 */
export function getBytesHash(bytes: Uint8Array): number {
  return h32Raw(bytes) >>> 0;
}

/**
 * Gets a hash as a fraction in [0, 1).
 * @param hash - Unsigned 32-bit integer.
 */
export function toFraction(hash: number): number {
  return hash / hashCount;
}

/**
 * Combines two hashes into one uniformly distributed unsigned 32-bit integer.
 * @param left - First hash.
 * @param right - Second hash.
 */
export function mixHashes(left: number, right: number): number {
  let mixed = left ^ Math.imul(right, 0x9e3779b1);
  mixed = Math.imul(mixed ^ (mixed >>> 16), 0x85ebca6b);
  mixed = Math.imul(mixed ^ (mixed >>> 13), 0xc2b2ae35);
  return (mixed ^ (mixed >>> 16)) >>> 0;
}

/**
 * Gets the weighted rendezvous score of a key at a node. The node with the highest score is first.
 * @param key - Hash of the key.
 * @param node - Hash of the node.
 * @param weight - Weight of the node.
 */
export function getRendezvousScore(key: number, node: number, weight: number): number {
  const uniform = (mixHashes(key, node) + 0.5) / hashCount;
  return -weight / Math.log(uniform);
}
