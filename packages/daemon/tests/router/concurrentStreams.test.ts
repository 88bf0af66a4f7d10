import { createStreamSuite } from "./createStreamSuite.js";
import { setTimeout as delay } from "node:timers/promises";
import * as assert from "uvu/assert";
import { framings, streamFramed } from "./framedStreams.js";
import { setScripts, type Context } from "./scripts.js";
import { readStream, type SeenStream } from "./StreamCaller.js";

const test = createStreamSuite("streams that are taken up while they run");

const lastEvent = 20;
const eventMilliseconds = 20;

function createWhole(after: number): SeenStream {
  const ids = Array.from({ length: lastEvent - after }, (_, index) => after + index + 1);
  return { status: 200, ids, rest: "", isComplete: true };
}

/** Takes up a stream that another request has begun. */
function resume({ fixture }: Context, id: string, lastEventId: number): Promise<SeenStream> {
  const headers = { "last-event-id": String(lastEventId), resumes: "q-0" };
  return readStream({ port: fixture.callersPort, path: "/stream/1", id, headers });
}

// Guards against two runs in one answer when an impatient caller takes its stream up twice (ORDER).
for (const framing of framings) {
  for (const id of ["q-1", "q-0"]) {
    test(`are whole each, with ${framing}, as "${id}"`, async (context) => {
      setScripts(context, streamFramed({ framing, lastEvent, eventMilliseconds }));
      const port = context.fixture.callersPort;
      const first = readStream({ port, path: "/stream/1", id: "q-0" });
      await delay(eventMilliseconds * 5);
      const again = [resume(context, id, 3), resume(context, id, 3), resume(context, "q-2", 7)];
      assert.equal(await Promise.all([first, ...again]), [0, 3, 3, 7].map(createWhole));
      // The record of the stream serves a later resumption as well.
      assert.equal(await resume(context, "q-3", 18), createWhole(18));
    });
  }
}

test.run();
