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

test.run();
