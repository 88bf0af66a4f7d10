import { EvacuatedZones } from "@pistachioway/kernel";
import { suite } from "uvu";
import * as assert from "uvu/assert";

const test = suite("EvacuatedZones");

const start = (zone: string) => ({ zone, isEvacuated: true });
const end = (zone: string) => ({ zone, isEvacuated: false });

/** Creates zones of which a complete list was read at 0. */
function createZones(...zones: readonly string[]): EvacuatedZones {
  const evacuations = EvacuatedZones.create();
  evacuations.applyList({ zones, requestedAt: 0 });
  return evacuations;
}

test("a list replaces the zones, and a change adds or removes one; each is reported once", () => {
  const evacuations = createZones("north");
  const changes = [
    evacuations.applyList({ zones: ["south", "north"], requestedAt: 10 }),
    evacuations.applyList({ zones: ["south"], requestedAt: 20 }),
    evacuations.applyChanges([start("south"), start("west")]),
    evacuations.applyChanges([end("west"), start("west"), end("east")]),
    evacuations.applyChanges([end("south")]),
  ];
  assert.equal(changes, [[start("south")], [end("north")], [start("west")], [], [end("south")]]);
  assert.equal(evacuations.getZones(), ["west"]);
});

// Guards against requests to a zone whose evacuation a restored registry has lost until operators repeat it.
test("the list of a restored registry ends an evacuation only after a later response", () => {
  const evacuations = createZones("north", "south");
  evacuations.startRestoration(1_000);
  const changes = [
    evacuations.applyList({ zones: [], requestedAt: 1_010 }),
    evacuations.applyChanges([start("south")]),
    evacuations.confirm(4_990),
    evacuations.confirm(5_000),
  ];
  assert.equal(changes, [[], [], [], [end("north")]]);
  assert.equal(evacuations.getZones(), ["south"]);
});

// Guards against an end of the evacuation by time alone, when the registry is lost again after its restoration.
test("without a response after the restoration the zones stay evacuated", () => {
  const evacuations = createZones("north");
  evacuations.startRestoration(1_000);
  evacuations.applyList({ zones: [], requestedAt: 1_010 });
  assert.is(evacuations.isEvacuated("north"), true);
  assert.equal(evacuations.confirm(60_000), [end("north")]);
});

test("operators end an evacuation during a restoration", () => {
  const evacuations = createZones("north");
  evacuations.startRestoration(1_000);
  evacuations.applyList({ zones: ["north"], requestedAt: 1_010 });
  assert.equal(evacuations.applyChanges([end("north")]), [end("north")]);
});

// Guards against a peer that ends an evacuation because it, or the build that it asked, knows of none.
test("zones are known to peers only while this daemon has them from the registry or from a peer that names them", () => {
  const evacuations = EvacuatedZones.create();
  const known = [evacuations.getKnownZones()];
  evacuations.applyList({ zones: ["north"], requestedAt: 0 });
  known.push(evacuations.getKnownZones());
  evacuations.recordUnknown();
  known.push(evacuations.getKnownZones());
  evacuations.confirm(10);
  known.push(evacuations.getKnownZones());
  assert.equal(known, [undefined, ["north"], undefined, ["north"]]);
});

test.run();
