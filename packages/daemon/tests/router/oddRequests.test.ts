import { respondWith } from "@pistachioway/standins";
import { setTimeout as delay } from "node:timers/promises";
import { suite } from "uvu";
import * as assert from "uvu/assert";
import {
  callProcess,
  setUpProcess,
  tearDownProcess,
  type ProcessContext,
} from "./ProcessContext.js";

const test = suite<ProcessContext>("odd requests of callers");

/** Far below the time-out of a request. */
const answerMilliseconds = 2_500;
const head = "Host: chat.example\r\nRequest-Id: q-1\r\nApi-Key: k-1\r\n";
const targets = [
  "*",
  "/read/1",
  "http://chat.example/read/1",
  "//read/1",
  "/read/\xff",
  "/read/1#x",
];
const methods = ["GET", "OPTIONS", "M-SEARCH", "QUERY", "TRACE", "PURGE", "HEAD", "SOURCE"];
const headers = [
  "Connection: Upgrade\r\nUpgrade: websocket\r\n",
  "Upgrade: h2c\r\n",
  "Expect: 100-continue\r\n",
  "Expect: x\r\n",
  "Connection: X, Request-Id\r\nX: y\r\n",
  "Connection: \x01\r\n",
  "Keep-Alive: x\r\nProxy-Connection: y\r\n",
  "X-Note: \xe2\x82\xac\r\n",
  "X-Note: a\tb\r\n",
  "Last-Event-Id: \xe2\x82\xac\r\n",
  "Content-Length: 1\r\nTransfer-Encoding: chunked\r\n",
  "Transfer-Encoding: gzip, chunked\r\n",
  "Trailer: X\r\nTransfer-Encoding: chunked\r\n",
  "Host: other.example\r\n",
  "Content-Type: \r\n",
];

const requests: readonly string[] = [
  ...methods.flatMap((method) =>
    targets.map((target) => `${method} ${target} HTTP/1.1\r\n${head}\r\n`),
  ),
  ...headers.flatMap((header) => [
    // The last chunk ends the body where there is one.
    `GET /read/1 HTTP/1.1\r\n${head}${header}\r\n0\r\n\r\n`,
    `POST /read/1 HTTP/1.1\r\n${head}${header}\r\n1\r\nx\r\n0\r\nX: y\r\n\r\n`,
    `POST /stream/1 HTTP/1.1\r\n${head}${header}\r\n0\r\n\r\n`,
  ]),
  `CONNECT chat.example:80 HTTP/1.1\r\n${head}\r\n`,
  `GET /read/1 HTTP/1.0\r\n${head}\r\n`,
  `GET /read/1 HTTP/2.0\r\n${head}\r\n`,
  "PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n",
];

test.before.each(async (context) => {
  await setUpProcess(context, { upstreamCount: 2, listedCount: 2 });
  context.upstreams.forEach((upstream) => {
    upstream.setScript(respondWith("ok"));
  });
});

test.after.each(tearDownProcess);

/** Sends a request, and checks whether it is answered, or its connection is ended, in time. */
async function isAnswered({ router }: ProcessContext, request: string): Promise<boolean> {
  const socket = router.open();
  const answered = new Promise<boolean>((resolve) => {
    socket.once("data", () => {
      resolve(true);
    });
    socket.once("close", () => {
      resolve(true);
    });
  });
  socket.write(request, "latin1");
  const result = await Promise.race([answered, delay(answerMilliseconds, false)]);
  socket.destroy();
  return result;
}

// Guards against a request that throws on its way, is left to its deadline, and tells nothing but `daemon.fault` (issue 45).
test("are answered at once, and none is a fault of the router", async (context) => {
  const left: string[] = [];
  for (const request of requests) {
    if (!(await isAnswered(context, request))) {
      left.push(request);
    }
  }
  const faults = context.router.getLines("daemon.fault");
  assert.equal({ left, faults }, { left: [], faults: [] });
  const { status } = await callProcess(context, "/read/1", "q-2");
  assert.equal([status, context.router.hasExited()], [200, false]);
});

test.run();
