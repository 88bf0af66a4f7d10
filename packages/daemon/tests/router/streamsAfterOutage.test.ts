import { ScriptedUpstream, type RegistryStore, type Script } from "@pistachioway/standins";
import { setTimeout as delay } from "node:timers/promises";
import { suite } from "uvu";
import * as assert from "uvu/assert";
import { RouterFixture, waitFor } from "./RouterFixture.js";

interface Context {
  routers: RouterFixture[];
  store: RegistryStore;
  engines: ScriptedUpstream[];
}

const test = suite<Context>("streams that are taken up after an outage of the registry");

const streamCount = 12;
const eventMilliseconds = 100;
const timeoutMilliseconds = 15_000;
/** Longer than a list counts as current. */
const outageMilliseconds = 3_600;

/** Streams without end until the connection closes; a stream that is resumed gets one more event. */
const streamSlowly: Script = ({ id, lastEventId }, response) => {
  response.writeHead(200, {
    ...{ "request-id": id, "response-stamp": `stamp-${id}` },
    "content-type": "text/event-stream",
  });
  if (lastEventId !== undefined) {
    response.end("id: 900\ndata: last\n\n");
    return;
  }
  let event = 0;
  const timer = setInterval(() => {
    event += 1;
    response.write(`id: ${String(event)}\ndata: piece\n\n`);
  }, eventMilliseconds);
  response.on("close", () => {
    clearInterval(timer);
  });
};

test.before.each(async (context) => {
  context.routers = await RouterFixture.createFleet(3, undefined, true);
  const [first] = context.routers;
  assert.ok(first);
  context.store = first.store;
  context.store.publishConfiguration({ version: 2, timeoutMilliseconds });
  context.engines = ["i-1", "i-2"].map((id) => ScriptedUpstream.create(id, streamSlowly));
  await Promise.all(context.engines.map((engine) => engine.listen()));
  context.engines.forEach((engine) => {
    context.store.publishUpstream(engine);
  });
  const isListed = ({ logLines }: RouterFixture): boolean =>
    logLines.filter((line) => line.includes("event=upstream.changed")).length >= 2 &&
    logLines.some((line) => line.includes("configuration.in-force") && line.includes("version=2"));
  await waitFor(() => context.routers.every(isListed));
  // Routers find each other within a second.
  await delay(1_500);
});

test.after.each(async ({ routers, engines }) => {
  await Promise.all(routers.map((router) => router.close([])));
  await Promise.all(engines.map((engine) => engine.close()));
});

/** Begins streams at the first router, and cuts all routers off from the registry. */
async function beginOutage(context: Context): Promise<readonly string[]> {
  const ids = await beginStreams(context, getFirst(context));
  context.store.setMode("reset");
  return ids;
}

function getFirst({ routers: [first] }: Context): RouterFixture {
  assert.ok(first);
  return first;
}

/** Begins streams at a router; their callers read them until it is killed. */
async function beginStreams(context: Context, router: RouterFixture): Promise<readonly string[]> {
  const ids = Array.from({ length: streamCount }, (_, index) => `s-${String(index)}`);
  ids.forEach((id) => {
    router
      .open()
      .write(
        `POST /stream/${id} HTTP/1.1\r\nHost: chat.example\r\nRequest-Id: ${id}\r\nApi-Key: k-1\r\n` +
          `Deadline-Ms: ${String(timeoutMilliseconds)}\r\nContent-Length: 1\r\n\r\nx`,
      );
  });
  const countBegun = (): number =>
    new Set(context.engines.flatMap(({ received }) => received.map(({ id }) => id))).size;
  await waitFor(() => countBegun() === streamCount);
  return ids;
}

/** Takes streams up at the other routers, and counts the answers by status. */
async function takeUp(
  [, ...others]: readonly RouterFixture[],
  ids: readonly string[],
): Promise<Record<string, number>> {
  const counts: Record<string, number> = {};
  const takeUpOne = async (id: string, index: number): Promise<void> => {
    const head = `Last-Event-Id: 3\r\nResumes: ${id}\r\n`;
    const router = others[index % others.length];
    const response = await router?.call(`/stream/${id}`, { id: `t-${id}`, method: "POST", head });
    const status = response?.status ?? 0;
    counts[status] = (counts[status] ?? 0) + 1;
  };
  await Promise.all(ids.map(takeUpOne));
  return counts;
}

// Guards against streams that nobody knows after an outage, although there was one version all along (LOST).
test("go on when their router is lost after it", async (context) => {
  const { routers, store } = context;
  const ids = await beginOutage(context);
  await delay(outageMilliseconds);
  store.setMode("up");
  await delay(1_500);
  getFirst(context).kill();
  assert.equal(await takeUp(routers, ids), { 200: streamCount });
});

// The same where what changed meanwhile cannot be read any more.
test("go on when the history is gone and their router is lost meanwhile", async (context) => {
  const { routers, store } = context;
  const ids = await beginOutage(context);
  await delay(800);
  getFirst(context).kill();
  await delay(outageMilliseconds);
  store.discardHistory();
  store.setMode("up");
  await delay(1_500);
  assert.equal(await takeUp(routers, ids), { 200: streamCount });
});

test("go on while the registry is still away", async (context) => {
  const { routers } = context;
  const ids = await beginOutage(context);
  await delay(800);
  getFirst(context).kill();
  assert.equal(await takeUp(routers, ids), { 200: streamCount });
});

test.run();
