import { respondWith } from "@pistachioway/standins";
import * as assert from "uvu/assert";
import { createStreamSuite } from "./createStreamSuite.js";
import { streamFramed } from "./framedStreams.js";
import { firstThen, resetBehind, setScripts } from "./scripts.js";
import { readStream } from "./StreamCaller.js";

const test = createStreamSuite(
  "answers that name no end and whose upstream resets right behind their last bytes",
);

const lastEvent = 40;
const firstEvents = "id: 1\ndata: piece\n\nid: 2\ndata: piece\n\n";

// Guards against a reset that comes together with bytes and looks like the end of a stream (ORDER).
test("go on elsewhere after events", async (context) => {
  const begin = resetBehind(firstEvents, "text/event-stream");
  setScripts(context, firstThen(begin, streamFramed({ framing: "chunks", lastEvent })));
  const { callersPort } = context.fixture;
  const { ids, isComplete } = await readStream({
    ...{ port: callersPort, path: "/stream/1", id: "q-1" },
  });
  const wholeIds = Array.from({ length: lastEvent }, (_, index) => index + 1);
  assert.equal({ ids, isComplete }, { ids: wholeIds, isComplete: true });
});

test("are broken off after events of a stream that may not go on", async (context) => {
  setScripts(context, resetBehind(firstEvents, "text/event-stream"));
  const { callersPort } = context.fixture;
  const { ids, isComplete } = await readStream({
    ...{ port: callersPort, path: "/once/1", id: "q-1" },
  });
  assert.equal({ ids, isComplete }, { ids: [1, 2], isComplete: false });
});

// Guards against a reset behind an answer on a connection that has served a request before (ORDER).
test("go on elsewhere after events on a connection that is used again", async (context) => {
  const begin = resetBehind(firstEvents, "text/event-stream");
  const goOn = streamFramed({ framing: "chunks", lastEvent });
  const answers = [respondWith("first"), respondWith("second"), begin, goOn];
  const ports = new Set<number | undefined>();
  setScripts(context, (request, response) => {
    ports.add(response.socket?.remotePort);
    answers.shift()?.(request, response);
  });
  await context.fixture.call("/read/1", { id: "q-1" });
  await context.fixture.call("/read/2", { id: "q-2" });
  const { callersPort } = context.fixture;
  const { ids, isComplete } = await readStream({
    ...{ port: callersPort, path: "/stream/1", id: "q-3" },
  });
  assert.equal([ids.length, isComplete, answers.length], [lastEvent, true, 0]);
  assert.ok(ports.size < 4, "no connection was used again");
});

for (const [where, part] of Object.entries({ "a part": "a part", "the head": "" })) {
  // Guards against a part of a whole answer that is passed on as the answer (MIXED).
  test(`are asked for elsewhere after ${where}`, async (context) => {
    setScripts(context, firstThen(resetBehind(part), respondWith("whole")));
    const { status, body } = await context.fixture.call("/read/1", { id: "q-1" });
    assert.equal([status, body], [200, "whole"]);
  });

  test(`leave open whether a request has run after ${where}`, async (context) => {
    setScripts(context, resetBehind(part));
    const { status } = await context.fixture.call("/act/1", { method: "POST", body: "x" });
    assert.is(status, 502);
  });
}

test.run();
