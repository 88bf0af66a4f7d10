import { CompleteEventBuffer } from "@pistachioway/daemon";
import { suite } from "uvu";
import * as assert from "uvu/assert";

const test = suite("CompleteEventBuffer");

const pass = (gate: CompleteEventBuffer, text: string): string =>
  gate.push(Buffer.from(text)).toString();

test("passes whole events and holds the rest", () => {
  const gate = CompleteEventBuffer.create();
  const passed = ["id: 1\ndata: a\n\nid: 2\nda", "ta: b\n", "\n"].map((text) => pass(gate, text));
  assert.equal(passed, ["id: 1\ndata: a\n\n", "", "id: 2\ndata: b\n\n"]);
  assert.is(gate.getLastEventId(), "2");
});

test("forgets the torn event of a stream that goes on elsewhere", () => {
  const gate = CompleteEventBuffer.create();
  pass(gate, "id: 1\ndata: a\n\nid: 2\ndata: b");
  assert.is(gate.takeIncomplete().toString(), "id: 2\ndata: b");
  assert.is(pass(gate, "id: 2\ndata: b\n\n"), "id: 2\ndata: b\n\n");
});

test("remembers the last id over events without one", () => {
  const gate = CompleteEventBuffer.create();
  pass(gate, "id: 7\r\ndata: a\r\n\r\n");
  assert.is(gate.getLastEventId(), "7");
  pass(gate, "data: b\n\n");
  assert.is(gate.getLastEventId(), "7");
});

test("knows no id before the first event", () => {
  assert.is(CompleteEventBuffer.create().getLastEventId(), undefined);
});

test.run();
