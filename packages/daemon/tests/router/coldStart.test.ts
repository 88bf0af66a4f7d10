import {
  createPublishedConfiguration,
  publishedService,
  respondWith,
  ScriptedUpstream,
  type Script,
} from "@pistachioway/standins";
import { setTimeout as delay } from "node:timers/promises";
import { suite } from "uvu";
import * as assert from "uvu/assert";
import { RouterFixture, waitFor } from "./RouterFixture.js";

interface Context {
  routers: RouterFixture[];
  /** The first one starts cold, the second one was warm before. */
  upstreams: readonly [ScriptedUpstream, ScriptedUpstream];
  /** When requests reached the cold upstream, in milliseconds. */
  arrivals: number[];
}

const test = suite<Context>("cold upstreams before routers");

const coldMilliseconds = 3_000;
const coldPerSecond = 8;
/** A second more than a router's start takes until it knows how many there are. */
const settlingMilliseconds = 4_000;
const answerMilliseconds = 100;
const windowMilliseconds = 1_000;
/** Requests that may reach the cold upstream in any second. */
const mostInSecond = 1.5 * coldPerSecond + 5;
const requestIntervalMilliseconds = 8;

test.before.each(async (context) => {
  context.routers = await RouterFixture.createFleet(3);
  context.arrivals = [];
  // The warm upstream always holds requests, so that the cold one looks idle.
  const answer: Script = (request, response) => {
    setTimeout(() => {
      respondWith("ok")(request, response);
    }, answerMilliseconds);
  };
  context.upstreams = [
    ScriptedUpstream.create("i-0", (request, response) => {
      context.arrivals.push(performance.now());
      answer(request, response);
    }),
    ScriptedUpstream.create("i-1", answer),
  ];
  await Promise.all(context.upstreams.map((upstream) => upstream.listen()));
  const store = getStore(context);
  const configuration = createPublishedConfiguration({ version: 2 }) as object;
  const service = { name: publishedService, health_path: "/healthz", max_conns: 100 };
  const cold = { cold_s: coldMilliseconds / 1_000, cold_per_s: coldPerSecond };
  store.put("op/config", { ...configuration, services: [{ ...service, ...cold }] });
  store.publishUpstream(context.upstreams[1]);
  await delay(settlingMilliseconds);
});

test.after.each(async ({ routers, upstreams }) => {
  await Promise.all(routers.map((router) => router.close([])));
  await Promise.all(upstreams.map((upstream) => upstream.close()));
});

function getStore({ routers }: Context): RouterFixture["store"] {
  const [first] = routers;
  assert.ok(first);
  return first.store;
}

/** Publishes the first upstream, which has just started, and waits until all routers know of it. */
async function start(context: Context): Promise<void> {
  const entry = context.upstreams[0].getEntry(publishedService, "ready", 1);
  getStore(context).put("servers/i-0", { ...entry, cold_left_ms: coldMilliseconds });
  await waitFor(() =>
    context.routers.every(({ logLines }) =>
      logLines.some((line) => line.includes("event=upstream.cold")),
    ),
  );
}

async function sendRequests({ routers }: Context, milliseconds: number): Promise<number> {
  const until = performance.now() + milliseconds;
  const calls: Promise<boolean>[] = [];
  while (performance.now() < until) {
    const router = routers[calls.length % routers.length];
    assert.ok(router);
    const call = router.call("/read/1", { id: `q-${String(calls.length)}` });
    calls.push(call.then(({ status }) => status === 200));
    await delay(requestIntervalMilliseconds);
  }
  const served = await Promise.all(calls);
  return served.filter(Boolean).length / served.length;
}

// Guards against an upstream that crashes at once because it is empty and gets every request.
test("three routers together send a cold upstream no more than it takes, and serve all", async (context) => {
  await start(context);
  const served = await sendRequests(context, coldMilliseconds - 300);
  const { arrivals } = context;
  const counts = arrivals.map(
    (at) => arrivals.filter((each) => each >= at && each < at + windowMilliseconds).length,
  );
  const most = Math.max(0, ...counts);
  console.log(`most in a second: ${String(most)}; served ${served.toFixed(2)}`);
  assert.ok(most > 0 && most <= mostInSecond, `${String(most)} of ${String(mostInSecond)}`);
  assert.ok(served >= 0.99, `served ${served.toFixed(2)}`);
  await waitFor(() =>
    context.routers.every(({ logLines }) =>
      logLines.some((line) => line.includes("event=upstream.warm")),
    ),
  );
});

test("a request that only cold upstreams could serve is refused at once and told when to return", async (context) => {
  await start(context);
  getStore(context).removeUpstream("i-1");
  const [router] = context.routers;
  assert.ok(router);
  await waitFor(() => router.logLines.some((line) => line.includes("event=upstream.gone")));
  const startedAt = performance.now();
  const answers = await Promise.all(
    Array.from({ length: 20 }, (_, index) => router.call("/read/1", { id: `r-${String(index)}` })),
  );
  assert.ok(performance.now() - startedAt < 500);
  const refused = answers.filter(({ status }) => status === 503);
  assert.ok(refused.length >= 18, `${String(refused.length)} refused`);
  refused.forEach((answer) => {
    assert.match(answer.body, /upstreams-cold/);
    assert.ok(Number(answer.headers["retry-after"]) <= 2);
  });
});

test.run();
