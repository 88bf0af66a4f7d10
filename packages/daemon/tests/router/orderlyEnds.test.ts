import type { Script } from "@pistachioway/standins";
import * as assert from "uvu/assert";
import { createStreamSuite } from "./createStreamSuite.js";
import { getArrivals, setScripts } from "./scripts.js";
import { readStream } from "./StreamCaller.js";

const test = createStreamSuite(
  "answers that name no end and whose upstream ends them in order, then resets their connection",
);

const events = "id: 1\ndata: piece\n\nid: 2\ndata: piece\n\n";

/** Answers with neither a length nor chunks, ends the connection in order and resets it then. */
function endThenReset(body: string, type = "text/plain"): Script {
  return ({ id }, { socket }) => {
    socket?.end(
      `HTTP/1.1 200 OK\r\nRequest-Id: ${id}\r\nResponse-Stamp: stamp-${id}\r\n` +
        `Content-Type: ${type}\r\nConnection: close\r\n\r\n${body}`,
      () => socket.resetAndDestroy(),
    );
  };
}

// Guards against a complete answer that is taken for a broken one, as its upstream closes with bytes unread.
test("are the answers of requests that may not be sent again", async (context) => {
  setScripts(context, endThenReset("whole"));
  const options = { method: "POST", body: "x" };
  const { status, body } = await context.fixture.call("/act/1", options);
  assert.equal([status, body], [200, "whole"]);
});

// Guards against a second run of a request that was answered.
test("are asked for once", async (context) => {
  setScripts(context, endThenReset("whole"));
  const { status, body } = await context.fixture.call("/read/1", { id: "q-1" });
  assert.equal([status, body, getArrivals(context)], [200, "whole", 1]);
});

// Guards against a complete stream that is broken off behind its last event.
test("are whole streams", async (context) => {
  setScripts(context, endThenReset(events, "text/event-stream"));
  const { callersPort } = context.fixture;
  const { ids, isComplete } = await readStream({
    ...{ port: callersPort, path: "/once/1", id: "q-1" },
  });
  assert.equal({ ids, isComplete }, { ids: [1, 2], isComplete: true });
});

test.run();
