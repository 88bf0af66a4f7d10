import { createStreamSuite } from "./createStreamSuite.js";
import * as assert from "uvu/assert";
import { firstThen, setScripts } from "./scripts.js";
import {
  callStream,
  createEvents,
  getAskedIds,
  streamPieces,
  streamPiecesAfterLast,
  whole,
} from "./streamPieces.js";

const test = createStreamSuite("lines of streams");

// Guards against streams that are kept back to their end, and cut off there, for their line ends.
for (const [name, lineEnd] of [
  ["CR LF", "\r\n"],
  ["CR", "\r"],
] as const) {
  test(`go on with lines that end with ${name}`, async (context) => {
    const events = createEvents(1, 6).map((event) => event.replaceAll("\n", lineEnd));
    const first = streamPieces([...events.slice(0, 3), `id: 4${lineEnd}da`], "reset");
    setScripts(context, firstThen(first, streamPiecesAfterLast(events)));
    const { body, end } = await context.fixture.call("/stream/1", { method: "POST", body: "x" });
    const asked = [...getAskedIds(context)].sort();
    assert.equal([body, end, asked], [events.join(""), "open", ["3", undefined]]);
  });
}

// Guards against a byte order mark that hides the first id, or the first event behind a continuation.
test("go on when upstreams begin with a byte order mark", async (context) => {
  const mark = "\u00ef\u00bb\u00bf";
  const first = streamPieces([`${mark}id: 1\ndata: a\n\n`, "id: 2\nda"], "reset");
  const later = streamPieces([`${mark}id: 2\ndata: a\n\n`], "complete");
  assert.equal(await callStream(context, first, later), { ...whole, ids: [2] });
  assert.equal([...getAskedIds(context)].sort(), ["1", undefined]);
});

// Guards against an event, a line end or a character that is taken apart where a piece ends.
test("are whole however their bytes are split", async (context) => {
  const text = createEvents(1, 6).join("").replaceAll("piece", "\u00c3\u00a9\r\ndata: x");
  setScripts(context, streamPieces([...text], "complete"));
  const { body } = await context.fixture.call("/stream/1", { method: "POST", body: "x" });
  assert.is(body, text);
});

test.run();
