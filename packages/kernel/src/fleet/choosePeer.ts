import type { MemberState } from "./messages.js";
import { pickRandom } from "./pickRandom.js";

/** What a request needs of the peer that passes it on to an upstream. */
export interface PeerRequirements {
  /** Hash of the name of the service. */
  readonly service: number;
  /** Zone of this daemon. */
  readonly zone: string;
  /** Checks whether a peer cannot take the request, as far as this daemon has learned. */
  readonly isExcluded: (address: string) => boolean;
  /** Gets the requests that this daemon has in flight through a peer. */
  readonly getForwardedCount: (address: string) => number;
  /** Gets a random number in [0, 1). */
  readonly getRandom: () => number;
}

/** Peers of which the one with the fewest requests is chosen. */
const candidateCount = 3;
/** Load of a peer in another zone, relative to one in this zone, as bytes between zones cost more. */
const otherZoneFactor = 1.5;
/** Requests that are added to each peer's count, so that few more or less hardly matter. */
const loadAllowance = 4;

/**
 * Chooses a live peer that reaches upstreams of a service: of a few picked at random, the one with the least load,
 * so that daemons with the same outdated view do not all choose the same.
 * @param peers - States of the live peers.
 * @param requirements - What the request needs.
 */
export function choosePeer(
  peers: readonly MemberState[],
  requirements: PeerRequirements,
): MemberState | undefined {
  const { service, isExcluded, getRandom } = requirements;
  const able = peers.filter(
    ({ version, unreachedServices, address }) =>
      version >= 0 && !unreachedServices.has(service) && !isExcluded(address),
  );
  const candidates = pickRandom(able, candidateCount, getRandom);
  const [best] = candidates
    .map((peer) => ({ peer, load: getLoad(peer, requirements) }))
    .sort((a, b) => a.load - b.load);
  return best?.peer;
}

function getLoad(
  { running, address, zone }: MemberState,
  { zone: ownZone, getForwardedCount }: PeerRequirements,
): number {
  const reported = [...running.values()].reduce((sum, count) => sum + count, 0);
  const factor = zone === ownZone ? 1 : otherZoneFactor;
  return (reported + getForwardedCount(address) + loadAllowance) * factor;
}
