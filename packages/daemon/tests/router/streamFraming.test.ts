import { ScriptedUpstream } from "@pistachioway/standins";
import { setTimeout as delay } from "node:timers/promises";
import { suite } from "uvu";
import * as assert from "uvu/assert";
import {
  processTimeoutMilliseconds,
  setUpProcess,
  tearDownProcess,
  type ProcessContext,
} from "./ProcessContext.js";
import { RouterFixture, waitFor } from "./RouterFixture.js";
import { framings, streamFramed } from "./framedStreams.js";
import { firstThen, setScripts, type Context } from "./scripts.js";
import { readStream, type SeenStream } from "./StreamCaller.js";

const killed = suite<ProcessContext>("streams whose router is killed");

const streamCount = 12;
const lastEvent = 40;
const eventMilliseconds = 50;

killed.before.each(async (context) => {
  await setUpProcess(context, { upstreamCount: 2, listedCount: 2 });
});

killed.after.each(tearDownProcess);

// Guards against streams that look complete to their callers when their router's process ends (ORDER).
for (const framing of framings) {
  killed(
    `do not look complete when upstreams answer with ${framing}`,
    async ({ router, upstreams }) => {
      const script = streamFramed({ framing, lastEvent, eventMilliseconds });
      upstreams.forEach((upstream) => {
        upstream.setScript(script);
      });
      const counts = new Map<string, number>();
      const seen = Array.from({ length: streamCount }, (_, index) => {
        const id = `q-${String(index)}`;
        const onEvents = (count: number): void => {
          counts.set(id, count);
        };
        return readStream({ port: router.callers, path: `/stream/${id}`, id, onEvents });
      });
      await waitFor(() => counts.size === streamCount && [...counts.values()].every((n) => n >= 2));
      await router.kill();
      const complete = (await Promise.all(seen)).filter(({ isComplete }) => isComplete);
      assert.equal(complete.length, 0);
    },
  );
}

killed.run();

const ended = suite<Context>("streams whose upstream ends");

ended.before.each(async (context) => {
  context.upstreams = [ScriptedUpstream.create("i-1"), ScriptedUpstream.create("i-2")];
  context.fixture = await RouterFixture.create(context.upstreams);
  context.fixture.store.publishConfiguration({
    version: 2,
    timeoutMilliseconds: processTimeoutMilliseconds,
  });
});

ended.after.each(async ({ fixture, upstreams }) => {
  await fixture.close(upstreams);
});

/** Calls a route of streams and reads its response. */
function callStream({ fixture }: Context, route: "stream" | "once"): Promise<SeenStream> {
  return readStream({ port: fixture.callersPort, path: `/${route}/1`, id: "q-1" });
}

const wholeIds = Array.from({ length: lastEvent }, (_, index) => index + 1);
const whole: SeenStream = { status: 200, ids: wholeIds, rest: "", isComplete: true };

// Guards against events of a second upstream that are cut or padded at the length of the first one's answer (ORDER).
for (const first of framings) {
  for (const second of framings) {
    ended(`go on with ${second} after ${first} that broke off inside an event`, async (context) => {
      const begin = streamFramed({ framing: first, lastEvent, brokenAfter: 5, text: "short" });
      const goOn = streamFramed({ framing: second, lastEvent, text: "a longer text" });
      setScripts(context, firstThen(begin, goOn));
      assert.equal(await callStream(context, "stream"), whole);
    });
  }
}

// Guards against streams that are sent again although their upstream has ended them (BUDGET).
for (const framing of framings) {
  ended(
    `are complete when an upstream that goes on serving ends them, with ${framing}`,
    async (context) => {
      setScripts(context, streamFramed({ framing, lastEvent }));
      assert.equal(await callStream(context, "stream"), whole);
      assert.equal(await callStream(context, "once"), whole);
      await delay(eventMilliseconds);
      assert.is(context.upstreams.flatMap(({ received }) => received).length, 2);
    },
  );
}

ended.run();
