import * as assert from "uvu/assert";
import { createExchangeSuite, createHead, sendInTime } from "./createExchangeSuite.js";

const test = createExchangeSuite("ends of connections that are paused");

/** With its head the answer is read in one piece, which uses up a turn. */
const bodyBytes = 65_400;
const pauseMilliseconds = 100;
const heads = {
  "neither length nor chunks": "Connection: close\r\n",
  "a length": `Connection: close\r\nContent-Length: ${String(bodyBytes)}\r\n`,
};

for (const [name, head] of Object.entries(heads)) {
  // Guards against answers without end: the HTTP client throws at the end of a connection that is paused.
  test(`an answer of a whole turn with ${name} ends while its connection waits for its turn`, async (context) => {
    context.answer = (socket) => {
      socket.end(createHead(head) + "x".repeat(bodyBytes));
    };
    assert.equal(await sendInTime(context), { bytes: bodyBytes, end: "complete" });
  });
}

// Guards against requests that stay open until their deadline although their stream has ended, when callers read slowly.
test("an answer ends while its receiver is slow", async (context) => {
  context.answer = (socket) => {
    socket.end(`${createHead("Connection: close\r\n")}id: 1\n\n`);
  };
  const received = await sendInTime(context, { pausedFor: pauseMilliseconds });
  assert.equal(received, { bytes: 7, end: "complete" });
});

// Guards against a reset that is taken for the end of an answer, or for nothing, while its receiver is slow.
test("an answer that is reset while its receiver is slow is lost", async (context) => {
  context.answer = (socket) => {
    socket.write(`${createHead("Connection: close\r\n")}id: 1\n\n`);
    setTimeout(() => socket.resetAndDestroy(), pauseMilliseconds / 2);
  };
  const end = { end: "lost", wasClosedByUpstream: true } as const;
  const received = await sendInTime(context, { pausedFor: pauseMilliseconds });
  assert.equal(received, { bytes: 7, end });
});

test.run();
