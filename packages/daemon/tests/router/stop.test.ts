import { respondWith, ScriptedUpstream, type Script } from "@pistachioway/standins";
import { setTimeout as delay } from "node:timers/promises";
import { suite } from "uvu";
import * as assert from "uvu/assert";
import { getArrivals, setScripts, type Context } from "./scripts.js";
import { readResponse, RouterFixture, waitFor } from "./RouterFixture.js";

const test = suite<Context>("planned stop of a router");

test.before.each(async (context) => {
  context.upstreams = [ScriptedUpstream.create("i-1"), ScriptedUpstream.create("i-2")];
  context.fixture = await RouterFixture.create(context.upstreams);
});

test.after.each(async ({ fixture, upstreams }) => {
  await fixture.close(upstreams);
});

test("a planned stop finishes running requests and serves those that still arrive", async (context) => {
  const { fixture } = context;
  setScripts(context, (request, response) => {
    setTimeout(() => {
      respondWith("late")(request, response);
    }, 400);
  });
  const running = fixture.call("/read/1");
  await waitFor(() => getArrivals(context) === 1);
  const stopped = fixture.router.stop();
  const arriving = await fixture.call("/read/2", { id: "q-2" });
  const answers = [await running, arriving].map(({ status, body }) => [status, body]);
  assert.equal(answers, [
    [200, "late"],
    [200, "late"],
  ]);
  assert.is(arriving.headers["connection"], "close");
  assert.is(await stopped, true);
  assert.is((await fixture.call("/read/3")).status, 0);
});

test("a planned stop accepts no further request on a connection whose response had begun before", async (context) => {
  const { fixture } = context;
  setScripts(context, (request, response) => {
    response.writeHead(200, { "request-id": request.id, "content-type": "text/event-stream" });
    response.write("id: 1\ndata: a\n\n");
    setTimeout(() => response.end("id: 2\ndata: b\n\n"), 300);
  });
  const socket = fixture.open();
  let text = "";
  socket.on("data", (chunk) => (text += chunk.toString()));
  const ended = new Promise((resolve) => socket.once("close", resolve));
  const head = "Host: chat.example\r\nApi-Key: k-1\r\n\r\n";
  socket.write(`GET /once/1 HTTP/1.1\r\nRequest-Id: q-1\r\n${head}`);
  await waitFor(() => text.includes("data: a"));
  const stopped = fixture.router.stop();
  await waitFor(() => text.includes("data: b"));
  socket.write(`GET /once/2 HTTP/1.1\r\nRequest-Id: q-2\r\n${head}`);
  await Promise.all([ended, stopped]);
  assert.is(getArrivals(context), 1);
  assert.ok(text.endsWith("\r\n0\r\n\r\n"), "the response is complete");
});

test("a planned stop ends within its grace period even when a response never ends", async (context) => {
  context.fixture.store.publishConfiguration({ version: 2, timeoutMilliseconds: 60_000 });
  await waitFor(() => context.fixture.logLines.some((line) => line.includes("in-force version=2")));
  setScripts(context, (request, response) => {
    response.writeHead(200, { "request-id": request.id, "content-type": "text/event-stream" });
    response.write("id: 1\ndata: a\n\n");
  });
  const hanging = context.fixture.open();
  hanging.write(
    "GET /stream/1 HTTP/1.1\r\nHost: chat.example\r\nRequest-Id: q\r\nApi-Key: k-1\r\nDeadline-Ms: 60000\r\n\r\n",
  );
  await waitFor(() => getArrivals(context) === 1);
  const startedAt = performance.now();
  await context.fixture.router.stop();
  assert.ok(performance.now() - startedAt < 8_000);
  hanging.destroy();
});

const longTimeoutMilliseconds = 20_000;
/** Size of an answer that the buffers of a connection do not hold. */
const largeBodyBytes = 8_000_000;
/** Time in which a caller reads what was written before the stop ended. */
const readTimeoutMilliseconds = 1_000;
const longHead = `Host: chat.example\r\nApi-Key: k-1\r\nDeadline-Ms: ${String(longTimeoutMilliseconds)}\r\n`;

/** Publishes a route timeout that is longer than the grace period, and waits until it is in force. */
async function allowLongRequests({ fixture }: Context): Promise<void> {
  fixture.store.publishConfiguration({ version: 2, timeoutMilliseconds: longTimeoutMilliseconds });
  await waitFor(() => fixture.logLines.some((line) => line.includes("in-force version=2")));
}

/** Creates a request without body that may take longer than the grace period. */
function createLongRequest(path: string, id: string): string {
  return `GET ${path} HTTP/1.1\r\nRequest-Id: ${id}\r\n${longHead}\r\n`;
}

/** Responds after a time. */
function respondAfter(milliseconds: number): Script {
  return (request, response) => {
    setTimeout(() => {
      respondWith("late")(request, response);
    }, milliseconds);
  };
}

// Guards against requests that were passed on late in the grace period and cut off at its end (LOST).
test("a planned stop refuses a request whose body completes when its deadline is past the exit", async (context) => {
  await allowLongRequests(context);
  setScripts(context, respondAfter(6_000));
  const stopped = context.fixture.router.stop();
  const socket = context.fixture.open();
  const response = readResponse(socket);
  socket.write(`POST /act/1 HTTP/1.1\r\nRequest-Id: q-1\r\n${longHead}Content-Length: 2\r\n\r\nx`);
  await delay(3_200);
  socket.write("y");
  const isIdle = await stopped;
  await Promise.race([response, delay(readTimeoutMilliseconds)]);
  socket.destroy();
  const { status, headers, body } = await response;
  assert.equal([status, headers["connection"], getArrivals(context)], [503, "close", 0]);
  assert.match(body, "daemon-stopping");
  assert.is(isIdle, true);
});

// Guards against requests that were passed on late in the grace period and cut off at its end (LOST).
test("a planned stop closes a connection that was never used when listening ends", async (context) => {
  await allowLongRequests(context);
  setScripts(context, respondAfter(4_000));
  const running = context.fixture.open();
  running.write(createLongRequest("/act/1", "q-1"));
  const unused = context.fixture.open();
  let text = "";
  unused.on("data", (chunk) => (text += chunk.toString()));
  await waitFor(() => getArrivals(context) === 1);
  const stopped = context.fixture.router.stop();
  const answer = readResponse(running);
  await delay(3_500);
  unused.write(createLongRequest("/act/2", "q-2"));
  assert.is((await answer).status, 200);
  assert.is(await stopped, true);
  assert.equal([getArrivals(context), text], [1, ""]);
  assert.ok(unused.closed, "the connection was closed");
});

// Guards against requests that were cut off without an answer at the end of the grace period (LOST).
test("a planned stop ends every request that still runs before the exit", async (context) => {
  await allowLongRequests(context);
  setScripts(context, (request, response) => {
    if (request.path.startsWith("/once/")) {
      response.writeHead(200, { "request-id": request.id, "content-type": "text/event-stream" });
      response.write("id: 1\ndata: a\n\n");
    }
  });
  const { fixture } = context;
  const [act, read, stream, incomplete] = Array.from({ length: 4 }, () => fixture.open());
  act?.write(createLongRequest("/act/1", "q-1"));
  read?.write(createLongRequest("/read/1", "q-2"));
  stream?.write(createLongRequest("/once/1", "q-3"));
  incomplete?.write(
    `POST /act/4 HTTP/1.1\r\nRequest-Id: q-4\r\n${longHead}Content-Length: 2\r\n\r\nx`,
  );
  const sockets = [act, read, stream, incomplete].flatMap((socket) => socket ?? []);
  const responses = Promise.all(sockets.map(readResponse));
  await waitFor(() => new Set(getIds(context)).size === 3);
  const isIdle = await fixture.router.stop();
  await Promise.race([responses, delay(readTimeoutMilliseconds)]);
  sockets.forEach((socket) => socket.destroy());
  const ends = (await responses).map(({ status, body, end }) => [status, getType(body), end]);
  assert.equal(ends, [
    [504, "deadline-exceeded", "open"],
    [504, "deadline-exceeded", "open"],
    [200, "", "reset"],
    [503, "daemon-stopping", "open"],
  ]);
  assert.is(isIdle, false);
  assert.is(getIds(context).includes("q-4"), false);
  assert.ok(fixture.logLines.some((line) => /event=daemon.service-ended .*ended=4/.test(line)));
});

// Guards against a request that was passed on and lost its answer, because the one before it on the connection had been
// answered in the stop (LOST).
test("a planned stop answers each of several requests on one connection", async (context) => {
  setScripts(context, respondAfter(300));
  const socket = context.fixture.open();
  let text = "";
  socket.on("data", (chunk) => (text += chunk.toString()));
  const closed = new Promise((resolve) => socket.once("close", resolve));
  const head = "Host: chat.example\r\nApi-Key: k-1\r\n\r\n";
  for (const id of ["q-1", "q-2", "q-3"]) {
    socket.write(`GET /read/1 HTTP/1.1\r\nRequest-Id: ${id}\r\n${head}`);
  }
  await waitFor(() => getArrivals(context) === 3);
  const stopped = context.fixture.router.stop();
  await closed;
  const answered = [...text.matchAll(/request-id: (\S+)/gi)].map(([, id]) => id);
  assert.equal(answered, ["q-1", "q-2", "q-3"]);
  assert.is(await stopped, true);
});

// Guards against the answer to a request that ran being cut off when listening ends, because its caller reads slowly
// (LOST).
test("a planned stop leaves an answer that its caller still reads whole", async (context) => {
  const { fixture } = context;
  const body = "x".repeat(largeBodyBytes);
  setScripts(context, respondWith(body));
  const socket = fixture.open();
  let bytes = 0;
  socket.on("data", (chunk: Buffer) => (bytes += chunk.length));
  socket.write(createLongRequest("/act/1", "q-1"));
  await waitFor(() => bytes > 0);
  const closed = new Promise((resolve) => socket.once("close", resolve));
  socket.pause();
  const stopped = fixture.router.stop();
  await delay(3_500);
  socket.resume();
  await closed;
  assert.ok(bytes > largeBodyBytes, `${String(bytes)} bytes came`);
  assert.is(await stopped, true);
});

function getIds({ upstreams }: Context): readonly string[] {
  return upstreams.flatMap(({ received }) => received.map(({ id }) => id));
}

/** Gets the name of the refusal in a body; empty when it is another body. */
function getType(body: string): string {
  return body.startsWith("{") ? (JSON.parse(body) as { type: string }).type : "";
}

test.run();
