import type { MemberState } from "../fleet/index.js";
import { getHash } from "../hashing/index.js";

/** Daemons of a zone for each reader up to which all read: there the loss of a reader costs more than the calls. */
const fewDaemonsPerReader = 4;

/** What a daemon needs to know to choose whom to follow. */
export interface ReaderRequirements {
  /** Address at which this daemon receives datagrams. */
  readonly ownAddress: string;
  /** Zone of this daemon. */
  readonly zone: string;
  /** Number of daemons of a zone that read the registry. */
  readonly readersPerZone: number;
  /** Checks whether a daemon did not answer a short while ago. */
  readonly isExcluded: (address: string) => boolean;
}

/**
 * Chooses the daemon of the zone that this one follows in place of the registry. The readers are the first daemons in the
 * order of their hashes, so that all agree on them as far as they agree on who is live.
 * @param peers - States of the live peers.
 * @param requirements - What the choice depends on.
 * @returns Undefined when this daemon reads the registry itself.
 */
export function chooseReader(
  peers: readonly MemberState[],
  { ownAddress, zone, readersPerZone, isExcluded }: ReaderRequirements,
): MemberState | undefined {
  const members = peers.filter((peer) => peer.zone === zone && peer.version >= 0);
  if (members.length + 1 <= readersPerZone * fewDaemonsPerReader) {
    return undefined;
  }
  const ownHash = getHash(ownAddress);
  const readers = members
    .map((peer) => ({ peer, hash: getHash(peer.address) }))
    .sort((a, b) => a.hash - b.hash)
    .slice(0, readersPerZone);
  const isReader = readers.length < readersPerZone || readers.some(({ hash }) => ownHash < hash);
  const usable = readers.filter(({ peer }) => !isExcluded(peer.address));
  return isReader ? undefined : usable[ownHash % usable.length]?.peer;
}
