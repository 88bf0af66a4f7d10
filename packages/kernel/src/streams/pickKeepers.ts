import { getHash, getRendezvousScore } from "../hashing/index.js";

/**
 * Picks the daemons that keep the version of a stream, the same ones at every daemon that knows the same fleet.
 * @param id - Id of the request that began the stream.
 * @param addresses - Addresses of the live daemons.
 * @param count - Number of daemons to pick.
 */
export function pickKeepers(
  id: string,
  addresses: readonly string[],
  count: number,
): readonly string[] {
  const key = getHash(id);
  return addresses
    .map((address) => ({ address, score: getRendezvousScore(key, getHash(address), 1) }))
    .sort((a, b) => b.score - a.score)
    .slice(0, count)
    .map(({ address }) => address);
}
