import { suite } from "uvu";
import * as assert from "uvu/assert";
import { getNeighbours } from "../../dist/gossip/neighbours.js";
import {
  packRevisionAnnouncement,
  parseRevisionAnnouncement,
} from "../../dist/gossip/revisionCodec.js";
import type { DaemonView, RevisionAnnouncement } from "@pistachioway/kernel";

const announcement: RevisionAnnouncement = {
  from: "d1",
  zone: "north",
  inForce: { generation: 1, revision: 7, digest: "ab".repeat(32) },
  refused: undefined,
  confirmedAt: 5,
  isReadFailing: false,
};

function createDaemon(index: number, zone: string): DaemonView {
  return {
    name: `${zone}-${String(index).padStart(2, "0")}`,
    zone,
    incarnation: 1,
    state: "live",
    isListed: true,
    isLeaving: false,
    peerAddress: "127.0.0.1:1",
    datagramAddress: "127.0.0.1:2",
    operationsAddress: undefined,
  };
}

function countByZone(names: readonly { readonly zone: string }[]): Record<string, number> {
  const counts: Record<string, number> = {};
  for (const { zone } of names) {
    counts[zone] = (counts[zone] ?? 0) + 1;
  }
  return counts;
}

const test = suite("gossip");

test("a packed announcement is parsed unchanged, and a malformed one is rejected", () => {
  assert.equal(
    parseRevisionAnnouncement("d1", "north", packRevisionAnnouncement(announcement)),
    announcement,
  );
  assert.is(parseRevisionAnnouncement("d1", "north", "x"), undefined);
  assert.is(parseRevisionAnnouncement("d1", "north", [[1, 7, "short"], null, 5, false]), undefined);
});

test("the neighbours in a large fleet are those of the own zone and two of each other zone", () => {
  const daemons = ["north", "south", "east"].flatMap((zone) =>
    Array.from({ length: 35 }, (_unused, index) => createDaemon(index, zone)),
  );
  const small = getNeighbours(daemons.slice(0, 5), "north-00", "north");
  const large = getNeighbours(daemons, "north-00", "north");
  assert.equal(
    { small: countByZone(small), large: countByZone(large) },
    { small: { north: 4 }, large: { north: 34, south: 2, east: 2 } },
  );
});

test.run();
