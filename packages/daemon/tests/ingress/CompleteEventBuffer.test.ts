import { CompleteEventBuffer } from "@pistachioway/daemon";
import { suite } from "uvu";
import * as assert from "uvu/assert";

const test = suite("CompleteEventBuffer");

const push = (buffer: CompleteEventBuffer, text: string): string =>
  buffer.push(Buffer.from(text)).toString();

test("releases complete events and keeps the rest", () => {
  const buffer = CompleteEventBuffer.create();
  const completed = ["id: 1\ndata: a\n\nid: 2\nda", "ta: b\n", "\n"].map((text) =>
    push(buffer, text),
  );
  assert.equal(completed, ["id: 1\ndata: a\n\n", "", "id: 2\ndata: b\n\n"]);
  assert.is(buffer.getLastEventId(), "2");
});

test("discards the incomplete event of a stream that is resumed at another upstream", () => {
  const buffer = CompleteEventBuffer.create();
  push(buffer, "id: 1\ndata: a\n\nid: 2\ndata: b");
  assert.is(buffer.takeIncomplete().toString(), "id: 2\ndata: b");
  assert.is(push(buffer, "id: 2\ndata: b\n\n"), "id: 2\ndata: b\n\n");
});

test("keeps the last id when later events have none", () => {
  const buffer = CompleteEventBuffer.create();
  push(buffer, "id: 7\r\ndata: a\r\n\r\n");
  assert.is(buffer.getLastEventId(), "7");
  push(buffer, "data: b\n\n");
  assert.is(buffer.getLastEventId(), "7");
});

test("has no id before the first event", () => {
  assert.is(CompleteEventBuffer.create().getLastEventId(), undefined);
});

test.run();
