import { setTimeout as delay } from "node:timers/promises";
import { suite } from "uvu";
import * as assert from "uvu/assert";
import { setUpProcess, tearDownProcess, type ProcessContext } from "./ProcessContext.js";
import { waitFor } from "./RouterFixture.js";
import { framings, streamFramed } from "./framedStreams.js";
import { readStream } from "./StreamCaller.js";

const test = suite<ProcessContext>("streams beside signals");

const streamCount = 8;
const lastEvent = 30;
const eventMilliseconds = 30;
const frozenMilliseconds = 600;

test.before.each(async (context) => {
  await setUpProcess(context, { upstreamCount: 2, listedCount: 2 });
});

test.after.each(tearDownProcess);

// Guards against streams that lose or repeat events while their router reads its settings, stands still or leaves (ORDER).
for (const framing of framings) {
  for (const [name, disturb] of [
    ["reload", ({ router }: ProcessContext) => router.reload()],
    [
      "freeze",
      async ({ router }: ProcessContext) => {
        router.pause();
        await delay(frozenMilliseconds);
        router.resume();
      },
    ],
    ["planned stop", ({ router }: ProcessContext) => router.terminate()],
  ] as const) {
    test(`are whole beside a ${name}, with ${framing}`, async (context) => {
      const { router, upstreams } = context;
      upstreams.forEach((upstream) => {
        upstream.setScript(streamFramed({ framing, lastEvent, eventMilliseconds }));
      });
      const counts = new Map<string, number>();
      const seen = Array.from({ length: streamCount }, (_, index) => {
        const id = `q-${String(index)}`;
        const onEvents = (count: number): void => {
          counts.set(id, count);
        };
        return readStream({ port: router.callers, path: `/stream/${id}`, id, onEvents });
      });
      await waitFor(() => counts.size === streamCount && [...counts.values()].every((n) => n >= 3));
      await disturb(context);
      const ids = Array.from({ length: lastEvent }, (_, index) => index + 1);
      const whole = { status: 200, ids, rest: "", isComplete: true };
      assert.equal(
        await Promise.all(seen),
        seen.map(() => whole),
      );
    });
  }
}

test.run();
