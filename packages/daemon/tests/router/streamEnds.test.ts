import { createStreamSuite } from "./createStreamSuite.js";
import * as assert from "uvu/assert";
import { callStream, createEvents, goOn, streamPieces, whole } from "./streamPieces.js";

const test = createStreamSuite("streams that end inside an event");

// Guards against a stream that ends inside an event and looks complete, as its upstream sent the last chunk (ORDER).
test("go on when an answer in chunks ends inside an event", async (context) => {
  const first = streamPieces([...createEvents(1, 3), "id: 4\nda"], "complete");
  assert.equal(await callStream(context, first, goOn), whole);
});

test("are broken off when an answer in chunks ends inside an event and may not go on", async (context) => {
  const first = streamPieces([...createEvents(1, 3), "id: 4\nda"], "complete");
  const { rest, isComplete } = await callStream(context, first, goOn, "once");
  assert.equal([rest, isComplete], ["id: 4\nda", false]);
});

test.run();
