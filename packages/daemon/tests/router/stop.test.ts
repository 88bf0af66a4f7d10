import { respondWith, ScriptedUpstream } from "@pistachioway/standins";
import { suite } from "uvu";
import * as assert from "uvu/assert";
import { getArrivals, setScripts, type Context } from "./scripts.js";
import { RouterFixture, waitFor } from "./RouterFixture.js";

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

test.run();
