import { UpstreamTable } from "@pistachioway/kernel";
import { suite } from "uvu";
import * as assert from "uvu/assert";
import { createUpstream } from "./samples.js";

const test = suite("UpstreamTable");

function getStates(book: UpstreamTable): readonly string[] {
  return book.getEntries().map(({ record }) => `${record.id} ${record.state}`);
}

test("takes a removal at once while the registry is sound", () => {
  const book = UpstreamTable.create();
  book.addUpstream(createUpstream(), 0);
  book.removeUpstream("e-1", 10);
  assert.equal(getStates(book), []);
});

test("keeps a lapsed entry for a grace after an outage, and then takes it as gone", () => {
  const book = UpstreamTable.create();
  book.addUpstream(createUpstream(), 0);
  book.addUpstream(createUpstream({ id: "e-2" }), 0);
  book.startGracePeriod(1_000);
  book.removeUpstream("e-1", 1_100);
  book.removeUpstream("e-2", 1_100);
  book.addUpstream(createUpstream({ id: "e-2", sequence: 2 }), 0);
  assert.equal(book.removeExpired(2_700), []);
  assert.equal(book.removeExpired(2_801), ["e-1"]);
  assert.equal(getStates(book), ["e-2 ready"]);
});

test("gives no grace to an upstream that was leaving", () => {
  const book = UpstreamTable.create();
  book.addUpstream(createUpstream({ state: "draining" }), 0);
  book.startGracePeriod(1_000);
  book.removeUpstream("e-1", 1_100);
  assert.equal(getStates(book), []);
});

test("does not go back to what an upstream said earlier", () => {
  const book = UpstreamTable.create();
  book.addUpstream(createUpstream({ state: "draining", sequence: 5 }), 0);
  book.addUpstream(createUpstream({ state: "ready", sequence: 4 }), 0);
  book.addUpstream(createUpstream({ state: "ready", bornAt: 0, sequence: 9 }), 0);
  assert.equal(getStates(book), ["e-1 draining"]);
});

test("starts anew with a new incarnation under a known id", () => {
  const book = UpstreamTable.create();
  book.addUpstream(createUpstream({ state: "draining", sequence: 5 }), 0);
  book.getEntry("e-1")?.startRequest(0);
  book.addUpstream(createUpstream({ bornAt: 2, sequence: 1 }), 0);
  assert.equal(getStates(book), ["e-1 ready"]);
  assert.is(book.getEntry("e-1")?.running, 0);
});

test.run();
