import { respondWith, ScriptedUpstream } from "@pistachioway/standins";
import { suite } from "uvu";
import * as assert from "uvu/assert";
import { getArrivals, setScripts, type Context } from "./scripts.js";
import { Site, waitFor } from "./Site.js";

const test = suite<Context>("planned stop of a router");

test.before.each(async (context) => {
  context.upstreams = [ScriptedUpstream.create("i-1"), ScriptedUpstream.create("i-2")];
  context.site = await Site.create(context.upstreams);
});

test.after.each(async ({ site, upstreams }) => {
  await site.close(upstreams);
});

test("a planned stop finishes what runs and serves what still arrives", async (context) => {
  const { site } = context;
  setScripts(context, (request, response) => {
    setTimeout(() => {
      respondWith("late")(request, response);
    }, 400);
  });
  const running = site.call("/read/1");
  await waitFor(() => getArrivals(context) === 1);
  const stopped = site.router.stop();
  const arriving = await site.call("/read/2", { id: "q-2" });
  const answers = [await running, arriving].map(({ status, body }) => [status, body]);
  assert.equal(answers, [
    [200, "late"],
    [200, "late"],
  ]);
  assert.is(arriving.headers["connection"], "close");
  assert.is(await stopped, true);
  assert.is((await site.call("/read/3")).status, 0);
});

test("a planned stop takes nothing more on a connection whose answer had begun before", async (context) => {
  const { site } = context;
  setScripts(context, (request, response) => {
    response.writeHead(200, { "request-id": request.id, "content-type": "text/event-stream" });
    response.write("id: 1\ndata: a\n\n");
    setTimeout(() => response.end("id: 2\ndata: b\n\n"), 300);
  });
  const socket = site.open();
  let text = "";
  socket.on("data", (chunk) => (text += chunk.toString()));
  const ended = new Promise((resolve) => socket.once("close", resolve));
  const head = "Host: chat.example\r\nApi-Key: k-1\r\n\r\n";
  socket.write(`GET /once/1 HTTP/1.1\r\nRequest-Id: q-1\r\n${head}`);
  await waitFor(() => text.includes("data: a"));
  const stopped = site.router.stop();
  await waitFor(() => text.includes("data: b"));
  socket.write(`GET /once/2 HTTP/1.1\r\nRequest-Id: q-2\r\n${head}`);
  await Promise.all([ended, stopped]);
  assert.is(getArrivals(context), 1);
  assert.ok(text.endsWith("\r\n0\r\n\r\n"), "the answer is whole");
});

test("a planned stop ends within its grace, whatever hangs", async (context) => {
  context.site.store.publishConfiguration({ version: 2, timeoutMilliseconds: 60_000 });
  await waitFor(() => context.site.lines.some((line) => line.includes("in-force version=2")));
  setScripts(context, (request, response) => {
    response.writeHead(200, { "request-id": request.id, "content-type": "text/event-stream" });
    response.write("id: 1\ndata: a\n\n");
  });
  const hanging = context.site.open();
  hanging.write(
    "GET /stream/1 HTTP/1.1\r\nHost: chat.example\r\nRequest-Id: q\r\nApi-Key: k-1\r\nDeadline-Ms: 60000\r\n\r\n",
  );
  await waitFor(() => getArrivals(context) === 1);
  const startedAt = performance.now();
  await context.site.router.stop();
  assert.ok(performance.now() - startedAt < 8_000);
  hanging.destroy();
});

test.run();
