import type { Socket } from "node:net";
import * as assert from "uvu/assert";
import {
  createExchangeSuite,
  createHead,
  sendInTime,
  type ExchangeContext,
  type Received,
  type Sending,
} from "./createExchangeSuite.js";

const test = createExchangeSuite("connections that are reset right behind the bytes of an answer");

const part = "id: 1\n\n";
/** More than the buffers of both sides hold, so that it is still being written when the answer ends. */
const longBody = Buffer.alloc(20_000_000, "x");
const playCount = 40;
const pauseMilliseconds = 50;
const bare = "Connection: close\r\n";
const framed = `Connection: close\r\nContent-Length: ${String(part.length)}\r\n`;
const lost = { bytes: part.length, end: { end: "lost", wasClosedByUpstream: true } };
const complete = { bytes: part.length, end: "complete" };

/** Answers in one piece and resets the connection behind it. */
function answerAndReset(lines: string): (socket: Socket) => void {
  return (socket) => {
    socket.pause();
    socket.write(createHead(lines) + part, () => socket.resetAndDestroy());
  };
}

/** Answers in one piece, ends its side in order, and reads on. */
function answerAndEnd(lines: string): (socket: Socket) => void {
  return (socket) => {
    socket.end(createHead(lines) + part);
    socket.resume();
  };
}

/** Answers in one piece, ends its side in order, and resets the connection then. */
function answerEndAndReset(lines: string): (socket: Socket) => void {
  return (socket) => {
    socket.end(createHead(lines) + part, () => socket.resetAndDestroy());
  };
}

/** Sends a request several times, and gets the different results. */
async function play(context: ExchangeContext, sending: Sending): Promise<unknown[]> {
  const results = new Set<string>();
  for (let count = 0; count < playCount; count += 1) {
    results.add(JSON.stringify(await sendInTime(context, sending)));
  }
  return [...results].map((text) => JSON.parse(text) as Received | "no end");
}

const sendings: Readonly<Record<string, Sending>> = {
  "without a body": {},
  "whose body is still being written": { body: longBody },
  "whose receiver is slow": { pausedFor: pauseMilliseconds },
};

for (const [name, sending] of Object.entries(sendings)) {
  // Guards against a reset that looks like the end of an answer that names none (ORDER).
  test(`lose the answer that names no end to a request ${name}`, async (context) => {
    context.answer = answerAndReset(bare);
    assert.equal(await play(context, sending), [lost]);
  });

  // Guards against answers taken for lost although their upstream ended them in order.
  test(`leave an answer that ended in order whole, to a request ${name}`, async (context) => {
    context.answer = answerAndEnd(bare);
    assert.equal(await play(context, sending), [complete]);
  });

  // Guards against whole answers taken for lost as the connection breaks behind their last byte.
  test(`leave an answer whole that has its length, to a request ${name}`, async (context) => {
    context.answer = answerAndReset(framed);
    assert.equal(await play(context, sending), [complete]);
  });
}

const { "without a body": bodiless, "whose receiver is slow": slow } = sendings;
for (const [name, sending] of Object.entries({ "a fast receiver": bodiless, "a slow one": slow })) {
  // Guards against a complete answer that is taken for lost, as its upstream closes with bytes unread.
  test(`leave an answer that ended in order before the reset whole, for ${name}`, async (context) => {
    context.answer = answerEndAndReset(bare);
    assert.equal(await play(context, sending ?? {}), [complete]);
  });
}

test.run();
