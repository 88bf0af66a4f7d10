import { ScriptedUpstream } from "@pistachioway/standins";
import { suite } from "uvu";
import * as assert from "uvu/assert";
import { processTimeoutMilliseconds } from "./ProcessContext.js";
import { RouterFixture } from "./RouterFixture.js";
import { type Context } from "./scripts.js";
import { callStream, createEvents, goOn, streamPieces, whole } from "./streamPieces.js";

const test = suite<Context>("streams that end inside an event");

test.before.each(async (context) => {
  context.upstreams = [ScriptedUpstream.create("i-1"), ScriptedUpstream.create("i-2")];
  context.fixture = await RouterFixture.create(context.upstreams);
  context.fixture.store.publishConfiguration({
    version: 2,
    timeoutMilliseconds: processTimeoutMilliseconds,
  });
});

test.after.each(async ({ fixture, upstreams }) => {
  await fixture.close(upstreams);
});

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
