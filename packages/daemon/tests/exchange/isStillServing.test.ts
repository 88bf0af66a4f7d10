import { setTimeout as delay } from "node:timers/promises";
import { suite } from "uvu";
import * as assert from "uvu/assert";
import { isStillServing } from "../../dist/exchange/index.js";
import { StalledUpstream } from "./StalledUpstream.js";

interface Context {
  upstream: StalledUpstream;
}

const test = suite<Context>("isStillServing");

/** Within the first try, which begins after 50 ms and ends after 300 ms. */
const stallMilliseconds = 200;
/** The wait, two tries of 250 ms, and a margin for a busy machine. */
const longestMilliseconds = 1_500;

test.before.each(async (context) => {
  context.upstream = await StalledUpstream.create();
});

test.after.each(async ({ upstream }) => {
  await upstream.close();
});

// Guards against an upstream that is taken for gone, as its full queue has dropped one connection (LOST).
test("takes an upstream whose queue was full during the first try for one that goes on", async ({
  upstream,
}) => {
  await upstream.stall();
  const isServing = isStillServing(upstream.address);
  await delay(stallMilliseconds);
  upstream.goOn();
  assert.is(await isServing, true);
});

// Guards against a check without end, and against an upstream that accepts nothing counting as one that goes on (ORDER).
test("takes an upstream whose queue stays full for one that is gone, in time", async ({
  upstream,
}) => {
  await upstream.stall();
  const startedAt = performance.now();
  assert.is(await isStillServing(upstream.address), false);
  assert.ok(performance.now() - startedAt < longestMilliseconds);
});

test("takes an upstream that accepts connections for one that goes on", async ({ upstream }) => {
  assert.is(await isStillServing(upstream.address), true);
});

test.run();
