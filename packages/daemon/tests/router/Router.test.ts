import {
  respondWith,
  refuseRequest,
  ScriptedUpstream,
  streamEvents,
  type Script,
} from "@pistachioway/standins";
import { suite } from "uvu";
import * as assert from "uvu/assert";
import {
  answerForOther,
  firstThen,
  getArrivals,
  loseAnswer,
  setScripts,
  stayMute,
  type Context,
} from "./scripts.js";
import { readAnswer, Site, waitFor } from "./Site.js";

const test = suite<Context>("Router");

test.before.each(async (context) => {
  context.upstreams = [ScriptedUpstream.create("i-1"), ScriptedUpstream.create("i-2")];
  context.site = await Site.create(context.upstreams);
});

test.after.each(async ({ site, upstreams }) => {
  await site.close(upstreams);
});

test("forwards method, path, query and body unchanged, and the answer back", async (context) => {
  const { site, upstreams } = context;
  setScripts(context, respondWith("served", 201));
  const answer = await site.call("/act/1?a=b%20c", { method: "PUT", body: "x=1" });
  assert.equal(
    [answer.status, answer.body, answer.headers["response-stamp"]],
    [201, "served", "stamp-q-1"],
  );
  const [received] = upstreams.flatMap((upstream) => upstream.received);
  assert.equal(
    [received?.method, received?.path, received?.body, received?.team, received?.key],
    ["PUT", "/act/1?a=b%20c", "x=1", "callaloo", undefined],
  );
});

test("refuses unknown routes and keys by type, and sends nothing", async (context) => {
  const { site } = context;
  const answers = [
    await site.call("/nowhere"),
    await site.call("/read/1", { head: "Api-Key: k-9\r\n" }),
  ];
  assert.equal(
    answers.map(({ status, body }) => [status, (JSON.parse(body) as { type: string }).type]),
    [
      [404, "unknown-route"],
      [401, "unknown-key"],
    ],
  );
  assert.is(getArrivals(context), 0);
});

test("refuses a body over the limit", async (context) => {
  const answer = await context.site.call("/act/1", { method: "POST", body: "x".repeat(70_000) });
  assert.is(answer.status, 413);
  assert.is(getArrivals(context), 0);
});

test("refuses a request that two headers frame in two ways", async (context) => {
  const answer = await context.site.call("/act/1", {
    method: "POST",
    head: "Transfer-Encoding: chunked\r\n",
    body: "0\r\n\r\nPOST /act/2 HTTP/1.1\r\n\r\n",
  });
  assert.is(answer.status, 400);
  assert.is(getArrivals(context), 0);
});

test("says 503 only when the request did not run", async (context) => {
  setScripts(context, refuseRequest);
  const refused = await context.site.call("/act/1", { method: "POST", body: "x" });
  assert.equal([refused.status, getArrivals(context)], [503, 2]);
  setScripts(context, loseAnswer);
  const lost = await context.site.call("/act/2", { id: "q-2", method: "POST", body: "x" });
  assert.equal([lost.status, getArrivals(context)], [502, 3]);
});

test("runs what may not be repeated once, whatever becomes of its answer", async (context) => {
  for (const script of [loseAnswer, answerForOther, stayMute]) {
    setScripts(context, script);
    const before = getArrivals(context);
    const answer = await context.site.call("/act/1", { method: "POST", body: "x" });
    assert.ok([502, 504].includes(answer.status), String(answer.status));
    assert.is(getArrivals(context) - before, 1);
  }
});

test("repeats an idempotent request at another upstream", async (context) => {
  for (const script of [loseAnswer, answerForOther, stayMute, respondWith("failed", 500)]) {
    setScripts(context, firstThen(script, respondWith("second")));
    const answer = await context.site.call("/read/1");
    assert.equal([answer.status, answer.body], [200, "second"]);
  }
});

test("passes an upstream's own failure on unchanged when no other may be asked", async (context) => {
  setScripts(context, respondWith("failed", 500));
  const answer = await context.site.call("/act/1", { method: "POST", body: "x" });
  assert.equal(
    [answer.status, answer.body, answer.headers["response-stamp"]],
    [500, "failed", "stamp-q-1"],
  );
});

test("an answer without length that breaks is never whole", async (context) => {
  const breakOff: Script = ({ id }, response) => {
    const text = `HTTP/1.1 200 OK\r\nRequest-Id: ${id}\r\nResponse-Stamp: s\r\n\r\nhalf`;
    response.socket?.write(text, () => setTimeout(() => response.socket?.resetAndDestroy(), 20));
  };
  setScripts(context, breakOff);
  const answer = await context.site.call("/act/1", { method: "POST", body: "x" });
  assert.is(answer.status, 502);
});

test("an answer that its connection's end delimits gets no length", async (context) => {
  const endByClose: Script = ({ id }, response) => {
    response.socket?.end(`HTTP/1.1 200 OK\r\nRequest-Id: ${id}\r\nResponse-Stamp: s\r\n\r\nall`);
  };
  setScripts(context, endByClose);
  const { body, headers, end } = await context.site.call("/act/1", { method: "POST", body: "x" });
  assert.equal(
    [body, headers["content-length"], headers["transfer-encoding"], end],
    ["all", undefined, undefined, "closed"],
  );
});

test("resumes a stream that broke inside an event, once and in order", async (context) => {
  setScripts(context, firstThen(streamEvents(3, "broken"), streamEvents(6, "complete")));
  const { body, status } = await context.site.call("/stream/1", { method: "POST", body: "x" });
  const ids = [...body.matchAll(/^id: (\d+)$/gm)].map(([, id]) => Number(id));
  const resumed = context.upstreams
    .flatMap(({ received }) => received)
    .map(({ lastEventId }) => lastEventId);
  assert.equal([status, ids, resumed.sort()], [200, [1, 2, 3, 4, 5, 6], ["3", undefined]]);
});

test("a broken stream that may not go on ends with a broken connection", async (context) => {
  setScripts(context, streamEvents(3, "broken"));
  const { body, end } = await context.site.call("/once/1", { method: "POST", body: "x" });
  assert.equal([body.includes("piece 3"), end], [true, "reset"]);
});

test("gives a request up at the time of its route, and closes its connection upstream", async (context) => {
  setScripts(context, stayMute);
  const startedAt = performance.now();
  const answer = await context.site.call("/act/1", { method: "POST", body: "x" });
  const took = performance.now() - startedAt;
  assert.is(answer.status, 504);
  assert.ok(took >= 495, `answered after ${String(took)} ms`);
  const [received] = context.upstreams.flatMap((upstream) => upstream.received);
  await waitFor(() => received?.isAbandoned() === true);
});

test("tells the upstream when the caller leaves", async (context) => {
  setScripts(context, stayMute);
  const socket = context.site.open();
  socket.write(
    "GET /stream/1 HTTP/1.1\r\nHost: chat.example\r\nRequest-Id: q\r\nApi-Key: k-1\r\n\r\n",
  );
  await waitFor(() => getArrivals(context) === 1);
  socket.destroy();
  const [received] = context.upstreams.flatMap((upstream) => upstream.received);
  await waitFor(() => received?.isAbandoned() === true);
});

test("sends nothing more to an upstream that says that it drains", async (context) => {
  const { site, upstreams } = context;
  const [first, second] = upstreams;
  site.store.publishUpstream(first, "draining", 2);
  await waitFor(() => site.lines.some((line) => line.includes("state=draining")));
  for (let request = 0; request < 8; request += 1) {
    await site.call("/read/1");
  }
  assert.equal([first.received.length, second.received.length], [0, 8]);
});

test("a revoked key is refused as soon as the configuration says so", async (context) => {
  const { site } = context;
  assert.is((await site.call("/read/1")).status, 200);
  site.store.publishConfiguration({ version: 3, keys: ["k-2"] });
  await waitFor(() => site.lines.some((line) => line.includes("configuration.in-force version=3")));
  assert.is((await site.call("/read/1")).status, 401);
});

test("never goes back to an older version", async (context) => {
  const { site } = context;
  site.store.publishConfiguration({ version: 9, hasRoutes: false });
  await waitFor(() => site.lines.some((line) => line.includes("configuration.in-force version=9")));
  site.store.publishConfiguration({ version: 2 });
  site.store.publishMalformedUpstream("i-3");
  await waitFor(() => site.lines.some((line) => line.includes("upstream.refused")));
  assert.is((await site.call("/read/1")).status, 404);
});

test("serves on while the registry is away, and no key once one may have been revoked", async (context) => {
  const { site } = context;
  site.store.setMode("reset");
  assert.is((await site.call("/read/1")).status, 200);
  await waitFor(() => site.lines.some((line) => line.includes("registry.lost")));
  await new Promise((resolve) => setTimeout(resolve, 5_000));
  const refused = await site.call("/read/1");
  assert.equal([refused.status, refused.headers["retry-after"]], [503, "0.3"]);
  site.store.setMode("up");
  await waitFor(() => site.lines.some((line) => line.includes("registry.regained")));
  assert.is((await site.call("/read/1")).status, 200);
});

test("a daemon that starts cut off from the registry serves by what a peer knows", async (context) => {
  const cutOff = await context.site.createCutOff();
  assert.is((await cutOff.call("/read/1")).status, 200);
  context.site.store.publishConfiguration({ version: 8, keys: [] });
  await waitFor(() => cutOff.lines.some((line) => line.includes("in-force version=8")));
  // While the peer's own confirmation is old, a key that is unknown here may be new.
  let status = 503;
  for (let tries = 0; tries < 50 && status === 503; tries += 1) {
    status = (await cutOff.call("/read/1")).status;
    await new Promise((resolve) => setTimeout(resolve, 50));
  }
  assert.is(status, 401);
  await cutOff.close([]);
});

test("follows changes after the registry lost its history", async (context) => {
  const { site, upstreams } = context;
  site.store.publishConfiguration({ version: 5 });
  site.store.removeUpstream("i-1");
  site.store.discardHistory();
  await waitFor(() => site.lines.some((line) => line.includes("upstream.gone upstream=i-1")));
  for (let request = 0; request < 4; request += 1) {
    await site.call("/read/1");
  }
  assert.equal([upstreams[0].received.length, upstreams[1].received.length], [0, 4]);
});

test("several requests on one connection each get their own answer", async (context) => {
  const { site } = context;
  context.upstreams.forEach((upstream) => {
    upstream.setScript((request, response) => {
      setTimeout(
        () => {
          respondWith(request.path)(request, response);
        },
        Number(request.path.split("/")[2]),
      );
    });
  });
  const socket = site.open();
  const head = "Host: chat.example\r\nApi-Key: k-1\r\n";
  const requests = [40, 5, 20].map(
    (wait) => `GET /read/${String(wait)} HTTP/1.1\r\nRequest-Id: q-${String(wait)}\r\n${head}\r\n`,
  );
  let text = "";
  socket.on("data", (chunk) => (text += chunk.toString()));
  socket.write(requests.join(""));
  await waitFor(() => text.split("HTTP/1.1 200").length === 4);
  await waitFor(() => text.includes("/read/20"));
  const order = [...text.matchAll(/request-id: (q-\d+)/gi)].map(([, id]) => id);
  assert.equal(order, ["q-40", "q-5", "q-20"]);
  socket.destroy();
});

test("a request that is torn off is never sent on", async (context) => {
  const socket = context.site.open();
  socket.write(
    "POST /act/1 HTTP/1.1\r\nHost: chat.example\r\nApi-Key: k-1\r\nContent-Length: 10\r\n\r\nhalf",
  );
  await new Promise((resolve) => setTimeout(resolve, 50));
  socket.destroy();
  await waitFor(() => context.site.lines.some((line) => line.includes("request.incomplete")));
  assert.is(getArrivals(context), 0);
});

test("answers a head that is too large with a type and goes on", async (context) => {
  for (const bytes of [17_000, 70_000]) {
    const head = `X-Large: ${"x".repeat(bytes)}\r\n`;
    assert.is((await context.site.call("/read/1", { head })).status, 431);
  }
  assert.is(getArrivals(context), 0);
  assert.is((await context.site.call("/read/1")).status, 200);
});

test("bytes that are no request get 400 and one log line", async (context) => {
  const socket = context.site.open();
  socket.write("\u0000\u0001\u0002 nonsense\r\n\r\n");
  const answer = await readAnswer(socket);
  assert.is(answer.status, 400);
  assert.is(context.site.lines.filter((line) => line.includes("connection.refused")).length, 1);
});

test.run();
