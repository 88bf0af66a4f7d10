import type { DaemonView } from "@pistachioway/kernel";

/** A daemon that this one exchanges gossip messages with. */
export interface Neighbour {
  readonly name: string;
  readonly zone: string;
  readonly datagramAddress: string;
}

const maxFullMeshDaemons = 40;
const neighboursPerOtherZone = 2;

/**
 * Gets the daemons to exchange gossip messages with: all of a small fleet; in a large one those of
 * the own zone, and a few of each other zone, which carry health reports and revision announcements
 * from zone to zone.
 * @param daemons - Daemons as known to this one.
 * @param self - Name of this daemon.
 * @param zone - Availability zone of this daemon.
 */
export function getNeighbours(
  daemons: Iterable<DaemonView>,
  self: string,
  zone: string,
): readonly Neighbour[] {
  const others = [...daemons].filter((daemon) => daemon.name !== self && daemon.state !== "lost");
  const reachable = others.flatMap(({ name, zone: otherZone, datagramAddress }) =>
    datagramAddress === undefined ? [] : [{ name, zone: otherZone, datagramAddress }],
  );
  if (reachable.length < maxFullMeshDaemons) {
    return reachable;
  }
  const zones = new Set(reachable.map((neighbour) => neighbour.zone));
  return [...zones].flatMap((name) => {
    const ofZone = reachable.filter((neighbour) => neighbour.zone === name);
    return name === zone ? ofZone : getDaemonsAfter(ofZone, self, neighboursPerOtherZone);
  });
}

/**
 * Gets the daemons that follow a name in alphabetical order, wrapping around, so that each is the
 * neighbour of about as many others.
 */
function getDaemonsAfter(daemons: Neighbour[], name: string, count: number): Neighbour[] {
  const sorted = daemons.sort((a, b) => a.name.localeCompare(b.name));
  const first = sorted.findIndex((daemon) => daemon.name > name);
  const start = first < 0 ? 0 : first;
  return [...sorted.slice(start), ...sorted.slice(0, start)].slice(0, count);
}
