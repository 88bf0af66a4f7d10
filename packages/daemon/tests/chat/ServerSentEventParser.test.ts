import { suite } from "uvu";
import * as assert from "uvu/assert";
import { ServerSentEventParser } from "../../dist/chat/ServerSentEventParser.js";

const test = suite("ServerSentEventParser");

const stream = "id: 1\ndata: ä\n\nid: 2\ndata: b\ndata: c\n\n: ping\n\n";

test("gets the same events however a stream is split", () => {
  const bytes = Buffer.from(stream);
  for (let size = 1; size <= bytes.length; size += 1) {
    const parser = ServerSentEventParser.create();
    const events = [];
    for (let at = 0; at < bytes.length; at += size) {
      events.push(...parser.addBytes(bytes.subarray(at, at + size)));
    }
    assert.equal(
      events.map(({ id, data }) => [id, data]),
      [
        ["1", "ä"],
        ["2", "b\nc"],
        [undefined, ""],
      ],
      `pieces of ${String(size)} bytes`,
    );
  }
});

// Guards against an event without end, which was searched from its start with each piece and kept without bound.
test("an event without end is none", () => {
  const addUntilError = (piece: string): [string, number] => {
    const parser = ServerSentEventParser.create();
    for (let pieces = 1; ; pieces += 1) {
      try {
        parser.addBytes(Buffer.from(piece));
      } catch (error) {
        return [(error as { code: string }).code, pieces];
      }
    }
  };
  assert.equal(addUntilError("z".repeat(65)), ["event-too-large", 16_132]);
  assert.equal(addUntilError("a\n"), ["event-too-large", 65_537]);
});

test.run();
