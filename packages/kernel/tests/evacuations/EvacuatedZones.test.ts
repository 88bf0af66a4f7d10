import { EvacuatedZones } from "@pistachioway/kernel";
import { suite } from "uvu";
import * as assert from "uvu/assert";

const test = suite("EvacuatedZones");

const start = (zone: string) => ({ zone, isEvacuated: true });
const end = (zone: string) => ({ zone, isEvacuated: false });

/** Creates a list of the registry. */
function list(asOf: number, zones: readonly string[]) {
  return { zones, source: "registry" as const, asOf };
}

/** Creates zones of which a complete list was read at 0. */
function createZones(...zones: readonly string[]): EvacuatedZones {
  const evacuations = EvacuatedZones.create();
  evacuations.applyList(list(0, zones));
  return evacuations;
}

test("a list replaces the zones, and a change adds or removes one; each is reported once", () => {
  const evacuations = createZones("north");
  const changes = [
    evacuations.applyList(list(10, ["south", "north"])),
    evacuations.applyList(list(20, ["south"])),
    evacuations.applyChanges([start("south"), start("west")], 30),
    evacuations.applyChanges([end("west"), start("west"), end("east")], 40),
    evacuations.applyChanges([end("south")], 50),
  ];
  assert.equal(changes, [[start("south")], [end("north")], [start("west")], [], [end("south")]]);
  assert.equal(evacuations.getZones(), ["west"]);
});

// Guards against requests to a zone whose evacuation a restored registry has lost until operators repeat it.
test("the list of a restored registry ends an evacuation only after a later response", () => {
  const evacuations = createZones("north", "south");
  evacuations.startRestoration(1_000);
  const changes = [
    evacuations.applyList(list(1_010, [])),
    evacuations.applyChanges([start("south")], 1_500),
    evacuations.applyChanges([], 4_990),
    evacuations.applyChanges([], 5_000),
  ];
  assert.equal(changes, [[], [], [], [end("north")]]);
  assert.equal(evacuations.getZones(), ["south"]);
});

// Guards against an end of the evacuation by time alone, when the registry is lost again after its restoration.
test("without a response after the restoration the zones stay evacuated", () => {
  const evacuations = createZones("north");
  evacuations.startRestoration(1_000);
  evacuations.applyList(list(1_010, []));
  assert.is(evacuations.isEvacuated("north"), true);
  assert.equal(evacuations.applyChanges([], 60_000), [end("north")]);
});

test("operators end an evacuation during a restoration", () => {
  const evacuations = createZones("north");
  evacuations.startRestoration(1_000);
  evacuations.applyList(list(1_010, ["north"]));
  assert.equal(evacuations.applyChanges([end("north")], 1_500), [end("north")]);
});

// Guards against an evacuation that a peer's older list ended for good, since a watch does not tell it again.
test("a response of the registry puts its own zones in place of a peer's, also without changes", () => {
  const evacuations = createZones("north");
  const changes = [
    evacuations.applyList({ zones: ["south"], source: "peer", asOf: 10 }),
    evacuations.applyChanges([], 20),
  ];
  assert.equal(changes, [
    [start("south"), end("north")],
    [start("north"), end("south")],
  ]);
});

// Guards against the list of a peer that read the restored registry before operators repeated what it had lost.
test("the list of a peer ends an evacuation only if it is known as of a time after the restoration", () => {
  const evacuations = createZones("north");
  evacuations.startRestoration(1_000);
  const changes = [4_990, 5_000].map((asOf) =>
    evacuations.applyList({ zones: [], source: "peer", asOf }),
  );
  assert.equal(changes, [[], [end("north")]]);
});

// Guards against a peer that ends an evacuation because it, or the build that it asked, knows of none.
test("zones are known to peers only while this daemon has them from the registry or from a peer that names them", () => {
  const evacuations = EvacuatedZones.create();
  const known = [evacuations.getKnownZones()];
  evacuations.applyList(list(0, ["north"]));
  known.push(evacuations.getKnownZones());
  evacuations.recordUnknown();
  known.push(evacuations.getKnownZones());
  evacuations.applyChanges([], 10);
  known.push(evacuations.getKnownZones());
  assert.equal(known, [undefined, ["north"], undefined, ["north"]]);
});

test.run();
