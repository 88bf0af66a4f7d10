import { CompleteEventBuffer } from "@pistachioway/daemon";
import { MemoryBudget } from "@pistachioway/kernel";
import fc from "fast-check";
import { suite } from "uvu";
import * as assert from "uvu/assert";

const test = suite("CompleteEventBuffer");

const createBuffer = () => CompleteEventBuffer.create(MemoryBudget.create(Infinity).addShare());
const push = (buffer: CompleteEventBuffer, text: string): string =>
  buffer.push(Buffer.from(text)).toString();

test("releases complete events and keeps the rest", () => {
  const buffer = createBuffer();
  const completed = ["id: 1\ndata: a\n\nid: 2\nda", "ta: b\n", "\n"].map((text) =>
    push(buffer, text),
  );
  assert.equal(completed, ["id: 1\ndata: a\n\n", "", "id: 2\ndata: b\n\n"]);
  assert.is(buffer.getLastEventId(), "2");
});

test("discards the incomplete event of a stream that is resumed at another upstream", () => {
  const buffer = createBuffer();
  push(buffer, "id: 1\ndata: a\n\nid: 2\ndata: b");
  assert.is(buffer.takeIncomplete().toString(), "id: 2\ndata: b");
  assert.is(push(buffer, "id: 2\ndata: b\n\n"), "id: 2\ndata: b\n\n");
});

test("keeps the last id when later events have none", () => {
  const buffer = createBuffer();
  push(buffer, "id: 7\r\ndata: a\r\n\r\n");
  assert.is(buffer.getLastEventId(), "7");
  push(buffer, "data: b\n\n");
  assert.is(buffer.getLastEventId(), "7");
});

test("has no id before the first event", () => {
  assert.is(createBuffer().getLastEventId(), undefined);
});

/** Gets the part of a text up to the end of its last event. */
function getComplete(text: string): string {
  const eventEnds = ["\n\n", "\n\r\n", "\r\r", "\r\r\n"];
  const lastEnds = eventEnds.map((eventEnd) => {
    const index = text.lastIndexOf(eventEnd);
    return index < 0 ? 0 : index + eventEnd.length;
  });
  return text.slice(0, Math.max(...lastEnds));
}

test("releases the same events however a stream is split", () => {
  const part = fc.constantFrom("a", "id: 1", "\n", "\r\n", "\n\n", "\r", "data: b\n\n");
  fc.assert(
    fc.property(fc.array(fc.array(part, { maxLength: 6 }), { maxLength: 12 }), (pieces) => {
      const buffer = createBuffer();
      const texts = pieces.map((parts) => parts.join(""));
      const released = texts.map((text) => push(buffer, text)).join("");
      const whole = texts.join("");
      assert.is(released, getComplete(whole));
      assert.is(released + buffer.takeIncomplete().toString(), whole);
    }),
    { seed: 42 },
  );
});

// Guards against an event without end, which stopped the router for seconds (review case 3).
test("names the bound that an incomplete event exceeds", () => {
  const pushUntilBound = (piece: string): [string, number] => {
    const buffer = createBuffer();
    for (let pieces = 1; ; pieces += 1) {
      const result = buffer.push(Buffer.from(piece));
      if (typeof result === "string") {
        return [result, pieces];
      }
    }
  };
  assert.equal(pushUntilBound("z".repeat(65)), ["event", 16_132]);
  assert.equal(pushUntilBound("a\n"), ["event", 65_537]);
});

test("goes on after the last event that was released when memory is used up", () => {
  const buffer = CompleteEventBuffer.create(MemoryBudget.create(1).addShare());
  push(buffer, "id: 7\ndata: a\n\n");
  assert.is(push(buffer, "id: 8\ndata: a\n\nid: 9"), "memory");
  assert.is(buffer.getLastEventId(), "7");
});

test.run();
