import { respondWith, ScriptedUpstream } from "@pistachioway/standins";
import { setTimeout as delay } from "node:timers/promises";
import { suite } from "uvu";
import * as assert from "uvu/assert";
import { nameLimit } from "./scripts.js";
import { RouterFixture, waitFor } from "./RouterFixture.js";

interface Context {
  routers: RouterFixture[];
  /** Two upstreams that name a limit, and one without. */
  upstreams: readonly ScriptedUpstream[];
  /** When requests reached each upstream, in milliseconds. */
  arrivals: readonly number[][];
  limit: string | undefined;
}

const test = suite<Context>("request limits of upstreams");

const limitPerSecond = 4;
/** Time after the limit was first named from which the bound holds. */
const stableWindowMilliseconds = 3_000;
const windowMilliseconds = 4_000;
/** Requests that may reach an upstream in a window: half more than the limit allows, and five. */
const maxInWindow = 1.5 * limitPerSecond * (windowMilliseconds / 1_000) + 5;
const requestIntervalMilliseconds = 12;

test.before.each(async (context) => {
  context.limit = String(limitPerSecond);
  context.routers = await RouterFixture.createFleet(3);
  const arrivals: readonly number[][] = [[], [], []];
  context.arrivals = arrivals;
  context.upstreams = arrivals.map((times, index) => {
    const answer = nameLimit(respondWith("ok"), () => (index < 2 ? context.limit : undefined));
    return ScriptedUpstream.create(`i-${String(index)}`, (request, response) => {
      times.push(performance.now());
      setTimeout(() => {
        answer(request, response);
      }, 20);
    });
  });
  await Promise.all(context.upstreams.map((upstream) => upstream.listen()));
  context.upstreams.forEach((upstream) => context.routers[0]?.store.publishUpstream(upstream));
  await waitFor(() => context.routers.every((router) => getListedCount(router) === 3));
});

test.after.each(async ({ routers, upstreams }) => {
  await Promise.all(routers.map((router) => router.close([])));
  await Promise.all(upstreams.map((upstream) => upstream.close()));
});

/** Gets the number of upstreams that a router has listed. */
function getListedCount({ logLines }: RouterFixture): number {
  return logLines.filter((line) => line.includes("event=upstream.changed")).length;
}

/** Sends requests to the routers in turn for a time, and gets the share of them that was served. */
async function sendRequests(routers: readonly RouterFixture[], seconds: number): Promise<number> {
  const until = performance.now() + seconds * 1_000;
  const calls: Promise<boolean>[] = [];
  while (performance.now() < until) {
    const id = `q-${String(calls.length)}`;
    const router = routers[calls.length % routers.length];
    calls.push(
      router?.call("/read/1", { id }).then(({ status }) => status === 200) ??
        Promise.resolve(false),
    );
    await delay(requestIntervalMilliseconds);
  }
  const served = await Promise.all(calls);
  return served.filter(Boolean).length / served.length;
}

/** Gets the largest number of arrivals in any window that begins after a time. */
function getMostInWindow(times: readonly number[], since: number): number {
  const counts = times
    .filter((at) => at >= since)
    .map((at) => times.filter((each) => each >= at && each < at + windowMilliseconds).length);
  return Math.max(0, ...counts);
}

// Guards against upstreams that named a limit and got far more from all routers together (LIMIT).
test("three routers together send an upstream no more than the limit that it names, and serve all", async ({
  routers,
  arrivals,
}) => {
  const startedAt = performance.now();
  const share = await sendRequests(routers, 10);
  const most = arrivals.map((times) =>
    getMostInWindow(times, startedAt + stableWindowMilliseconds),
  );
  console.log(`most in a window: ${most.join(", ")}; served ${share.toFixed(2)}`);
  assert.ok(
    Math.max(...most.slice(0, 2)) <= maxInWindow,
    `${most.join(", ")} of ${String(maxInWindow)}`,
  );
  assert.ok(share >= 0.99, `served ${share.toFixed(2)}`);
});

test("upstreams whose limit is lifted get their part again", async (context) => {
  await sendRequests(context.routers, 4);
  context.limit = undefined;
  await sendRequests(context.routers, 3);
  const liftedAt = performance.now();
  await sendRequests(context.routers, 2);
  const [first = 0, second = 0, open = 0] = context.arrivals.map(
    (times) => times.filter((at) => at >= liftedAt).length,
  );
  // Without load the requests go to the first upstream that is free.
  assert.ok(first + second >= open, `${String(first)}, ${String(second)}, ${String(open)}`);
});

test("a request that only limited upstreams could serve is refused at once and told when to return", async (context) => {
  const [, , open] = context.upstreams;
  context.routers[0]?.store.removeUpstream(open?.id ?? "");
  await sendRequests(context.routers, 4);
  const startedAt = performance.now();
  const [router] = context.routers;
  assert.ok(router);
  const answers = await Promise.all(
    Array.from({ length: 20 }, (_, index) => router.call("/read/1", { id: `r-${String(index)}` })),
  );
  const refused = answers.filter((answer) => answer.status === 503);
  assert.ok(refused.length >= 15, `${String(refused.length)} refused`);
  assert.ok(performance.now() - startedAt < 500);
  refused.forEach((answer) => {
    assert.match(answer.body, /upstreams-limited/);
    assert.ok(Number(answer.headers["retry-after"]) <= 2);
  });
});

test("a limit that cannot be read changes nothing and is logged once", async (context) => {
  context.limit = "-3;x";
  await sendRequests(context.routers, 1);
  const [first] = context.routers;
  const lines = first?.logLines.filter((line) => line.includes("upstream.limit-invalid")) ?? [];
  assert.ok(lines.length >= 1 && lines.length <= 2, lines.join("\n"));
});

test.run();
