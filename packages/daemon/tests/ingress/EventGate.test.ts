import { EventGate } from "@pistachioway/daemon";
import { suite } from "uvu";
import * as assert from "uvu/assert";

const test = suite("EventGate");

const pass = (gate: EventGate, text: string): string => gate.pass(Buffer.from(text)).toString();

test("passes whole events and holds the rest", () => {
  const gate = EventGate.create();
  const passed = ["id: 1\ndata: a\n\nid: 2\nda", "ta: b\n", "\n"].map((text) => pass(gate, text));
  assert.equal(passed, ["id: 1\ndata: a\n\n", "", "id: 2\ndata: b\n\n"]);
  assert.is(gate.getLastId(), "2");
});

test("forgets the torn event of a stream that goes on elsewhere", () => {
  const gate = EventGate.create();
  pass(gate, "id: 1\ndata: a\n\nid: 2\ndata: b");
  assert.is(gate.takeRest().toString(), "id: 2\ndata: b");
  assert.is(pass(gate, "id: 2\ndata: b\n\n"), "id: 2\ndata: b\n\n");
});

test("remembers the last id over events without one", () => {
  const gate = EventGate.create();
  pass(gate, "id: 7\r\ndata: a\r\n\r\n");
  assert.is(gate.getLastId(), "7");
  pass(gate, "data: b\n\n");
  assert.is(gate.getLastId(), "7");
});

test("knows no id before the first event", () => {
  assert.is(EventGate.create().getLastId(), undefined);
});

test.run();
