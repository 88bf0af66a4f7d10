import { chooseReader, type MemberState } from "@pistachioway/kernel";
import { suite } from "uvu";
import * as assert from "uvu/assert";

const test = suite("chooseReader");

function createMember(index: number, zone = "north", version = 1): MemberState {
  const address = `10.0.0.${String(index)}:7000`;
  return {
    name: `entry-${String(index)}`,
    address,
    operations: `10.0.0.${String(index)}:7001`,
    zone,
    incarnation: 1,
    sequence: 1,
    sampledAt: 0,
    version,
    confirmedAt: 0,
    running: new Map(),
    unreachedServices: new Set(),
  };
}

function createMembers(count: number): readonly MemberState[] {
  return Array.from({ length: count }, (_, index) => createMember(index + 1));
}

/** Gets the name of the reader that each member follows; "-" for one that reads itself. */
function getFollowed(
  members: readonly MemberState[],
  excluded: readonly string[] = [],
): readonly string[] {
  return members.map((own) => {
    const reader = chooseReader(
      members.filter((member) => member !== own),
      {
        ownAddress: own.address,
        zone: own.zone,
        readersPerZone: 2,
        isExcluded: (address) => excluded.includes(address),
      },
    );
    return reader?.name ?? "-";
  });
}

// Load: 17 daemons of a zone, each of which would call the registry 1.4 times a second.
test("two daemons of a large zone read, and the others follow both", () => {
  const followed = getFollowed(createMembers(17));
  const counts = new Map<string, number>();
  followed.forEach((name) => counts.set(name, (counts.get(name) ?? 0) + 1));
  assert.equal(
    [...counts.values()].sort((a, b) => a - b),
    [2, 7, 8],
  );
});

test("all daemons of a small zone read, as do those that know no peer", () => {
  assert.equal(new Set(getFollowed(createMembers(8))), new Set(["-"]));
  assert.equal(getFollowed([createMember(1)]), ["-"]);
});

// Failure: both readers fall silent. Guards against followers that are left without news.
test("followers use the other reader when one does not answer, and read themselves when none does", () => {
  const members = createMembers(17);
  const names = [...new Set(getFollowed(members))].filter((name) => name !== "-");
  const readers = members.filter(({ name }) => names.includes(name));
  const [first, second] = readers.map(({ address }) => address);
  const withOne = new Set(getFollowed(members, [first ?? ""]));
  const withNone = new Set(getFollowed(members, [first ?? "", second ?? ""]));
  assert.equal([withOne.size, withNone], [2, new Set(["-"])]);
});

test("daemons of other zones and those without a configuration are no readers", () => {
  const others = [
    ...Array.from({ length: 9 }, (_, index) => createMember(index + 1, "south")),
    ...Array.from({ length: 9 }, (_, index) => createMember(index + 11, "north", -1)),
  ];
  const reader = chooseReader(others, {
    ownAddress: "10.0.0.30:7000",
    zone: "north",
    readersPerZone: 2,
    isExcluded: () => false,
  });
  assert.is(reader, undefined);
});

test.run();
