import { ScriptedUpstream, streamEvents } from "@pistachioway/standins";
import { suite } from "uvu";
import * as assert from "uvu/assert";
import { firstThen, setScripts, streamWithoutFraming, type Context } from "./scripts.js";
import { RouterFixture, type RawResponse } from "./RouterFixture.js";

const test = suite<Context>("streams of a router");

test.before.each(async (context) => {
  context.upstreams = [ScriptedUpstream.create("i-1"), ScriptedUpstream.create("i-2")];
  context.fixture = await RouterFixture.create(context.upstreams);
});

test.after.each(async ({ fixture, upstreams }) => {
  await fixture.close(upstreams);
});

test("resumes a stream that broke inside an event, once and in order", async (context) => {
  setScripts(context, firstThen(streamEvents(3, "broken"), streamEvents(6, "complete")));
  const { body, status } = await context.fixture.call("/stream/1", { method: "POST", body: "x" });
  const ids = [...body.matchAll(/^id: (\d+)$/gm)].map(([, id]) => Number(id));
  const resumed = context.upstreams
    .flatMap(({ received }) => received)
    .map(({ lastEventId }) => lastEventId);
  assert.equal([status, ids, resumed.sort()], [200, [1, 2, 3, 4, 5, 6], ["3", undefined]]);
});

// Guards against an answer that looks complete although its upstream ended within it.
test("a stream without framing that ends inside an event is resumed, or else broken off", async (context) => {
  setScripts(
    context,
    firstThen(
      streamWithoutFraming("id: 1\ndata: piece 1\n\nid: 2\nda"),
      streamEvents(3, "complete"),
    ),
  );
  const resumed = await context.fixture.call("/stream/1", { method: "POST", body: "x" });
  assert.match(
    resumed.body,
    /^id: 1\ndata: piece 1\n\nid: 2\ndata: piece 2\n\nid: 3\ndata: piece 3\n\n$/,
  );
  setScripts(context, streamWithoutFraming("id: 1\ndata: piece 1\n\nid: 2\nda"));
  const broken = await context.fixture.call("/once/1", { method: "POST", body: "x" });
  setScripts(context, streamWithoutFraming("id: 1\r\ndata: piece 1\r\n\r\n"));
  const complete = await context.fixture.call("/once/1", { method: "POST", body: "x" });
  const endOf = ({ end, headers }: RawResponse): string =>
    `${end}, ${String(headers["transfer-encoding"])}`;
  // "open" is a response whose last chunk has come.
  assert.equal([endOf(broken), endOf(complete)], ["reset, chunked", "open, chunked"]);
});

test("a broken stream that may not be resumed ends with a reset connection", async (context) => {
  setScripts(context, streamEvents(3, "broken"));
  const { body, end } = await context.fixture.call("/once/1", { method: "POST", body: "x" });
  assert.equal([body.includes("piece 3"), end], [true, "reset"]);
});

test("an attempt that is lost is logged with the shared blocks of its prompt and how far its answer was", async (context) => {
  const { fixture } = context;
  setScripts(context, streamEvents(1, "broken"));
  const head = "Prompt-Prefix: a1:80,b2:40,c3:9\r\n";
  await fixture.call("/once/1", { method: "POST", body: "x", head });
  const line = fixture.logLines.find((each) => each.includes("event=attempt.lost")) ?? "";
  assert.match(
    line,
    /request=q-1 upstream=i-[12] status=200 written=\d+ content=[0-9a-f]{8} blocks="?a1,b2"? detail=/,
  );
});

test.run();
