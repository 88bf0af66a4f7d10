import { UpstreamTable } from "@pistachioway/kernel";
import { suite } from "uvu";
import * as assert from "uvu/assert";
import { createUpstream } from "./samples.js";

const test = suite("UpstreamTable");

function getStates(table: UpstreamTable): readonly string[] {
  return table.getEntries().map(({ record }) => `${record.id} ${record.state}`);
}

test("removes an upstream at once while the registry is available", () => {
  const table = UpstreamTable.create();
  table.addUpstream(createUpstream(), 0);
  table.removeUpstream("e-1", 10);
  assert.equal(getStates(table), []);
});

test("keeps an expired entry until the grace period after an outage ends, then removes it", () => {
  const table = UpstreamTable.create();
  table.addUpstream(createUpstream(), 0);
  table.addUpstream(createUpstream({ id: "e-2" }), 0);
  table.startGracePeriod(1_000);
  table.removeUpstream("e-1", 1_100);
  table.removeUpstream("e-2", 1_100);
  table.addUpstream(createUpstream({ id: "e-2", sequence: 2 }), 0);
  assert.equal(table.removeExpired(2_700), []);
  assert.equal(table.removeExpired(2_801), ["e-1"]);
  assert.equal(getStates(table), ["e-2 ready"]);
});

test("removes a draining upstream at once during the grace period", () => {
  const table = UpstreamTable.create();
  table.addUpstream(createUpstream({ state: "draining" }), 0);
  table.startGracePeriod(1_000);
  table.removeUpstream("e-1", 1_100);
  assert.equal(getStates(table), []);
});

test("ignores records that are older than the known one", () => {
  const table = UpstreamTable.create();
  table.addUpstream(createUpstream({ state: "draining", sequence: 5 }), 0);
  table.addUpstream(createUpstream({ state: "ready", sequence: 4 }), 0);
  table.addUpstream(createUpstream({ state: "ready", bornAt: 0, sequence: 9 }), 0);
  assert.equal(getStates(table), ["e-1 draining"]);
});

test("replaces the entry when a new incarnation has a known id", () => {
  const table = UpstreamTable.create();
  table.addUpstream(createUpstream({ state: "draining", sequence: 5 }), 0);
  table.getEntry("e-1")?.startRequest(0);
  table.addUpstream(createUpstream({ bornAt: 2, sequence: 1 }), 0);
  assert.equal(getStates(table), ["e-1 ready"]);
  assert.is(table.getEntry("e-1")?.running, 0);
});

test("an incarnation that announced that it leaves stays out of service whatever is listed later", () => {
  const table = UpstreamTable.create();
  table.addUpstream(createUpstream(), 0);
  assert.equal(
    [table.markLeaving({ id: "e-1", bornAt: 1 }), table.markLeaving({ id: "e-1", bornAt: 1 })],
    [true, false],
  );
  table.addUpstream(createUpstream({ sequence: 9 }), 10);
  const stillListed = table.getEntry("e-1")?.isInService();
  table.removeUpstream("e-1", 20);
  table.addUpstream(createUpstream({ sequence: 10 }), 30);
  const listedAgain = table.getEntry("e-1")?.isInService();
  table.addUpstream(createUpstream({ bornAt: 2 }), 40);
  assert.equal(
    [stillListed, listedAgain, table.getEntry("e-1")?.isInService()],
    [false, false, true],
  );
});

test("what is known of an earlier incarnation says nothing about the present one", () => {
  const table = UpstreamTable.create();
  table.addUpstream(createUpstream({ bornAt: 5 }), 0);
  table.markLeaving({ id: "e-1", bornAt: 4 });
  assert.ok(table.getEntry("e-1")?.isInService());
  table.markLeaving({ id: "e-2", bornAt: 4 });
  table.addUpstream(createUpstream({ id: "e-2", bornAt: 4 }), 0);
  assert.not(table.getEntry("e-2")?.isInService());
});

test("a drained incarnation does not return by an older list", () => {
  const table = UpstreamTable.create();
  table.addUpstream(createUpstream({ state: "draining", sequence: 5 }), 0);
  table.removeUpstream("e-1", 10);
  table.addUpstream(createUpstream({ state: "ready", sequence: 4 }), 9_000);
  assert.not(table.getEntry("e-1")?.isInService());
});

test("after a restoration a removed upstream returns when it writes again, or once old entries have expired", () => {
  const table = UpstreamTable.create();
  for (const id of ["e-1", "e-2", "e-3"]) {
    table.addUpstream(createUpstream({ id, sequence: 5 }), 0);
    table.removeUpstream(id, 10);
  }
  table.startRestoration(1_000);
  for (const id of ["e-1", "e-2", "e-3"]) {
    table.addUpstream(createUpstream({ id, sequence: 4 }), 1_000);
  }
  assert.equal(getStates(table), []);
  table.addUpstream(createUpstream({ id: "e-1", sequence: 6 }), 1_500);
  table.removeUpstream("e-2", 2_000);
  assert.equal(getStates(table), ["e-1 ready"]);
  table.addReleased(4_999);
  assert.equal(getStates(table), ["e-1 ready"]);
  table.addReleased(5_000);
  assert.equal(getStates(table), ["e-1 ready", "e-3 ready"]);
});

test("after a restoration an upstream that the copy lacks is kept for the grace period", () => {
  const table = UpstreamTable.create();
  table.addUpstream(createUpstream(), 0);
  table.startRestoration(1_000);
  table.removeUpstream("e-1", 1_000);
  assert.equal([getStates(table), table.removeExpired(2_800)], [["e-1 ready"], ["e-1"]]);
});

test("without a restoration a removed upstream returns at once", () => {
  const table = UpstreamTable.create();
  table.addUpstream(createUpstream({ sequence: 5 }), 0);
  table.removeUpstream("e-1", 10);
  table.addUpstream(createUpstream({ sequence: 5 }), 20);
  assert.equal(getStates(table), ["e-1 ready"]);
});

test.run();
