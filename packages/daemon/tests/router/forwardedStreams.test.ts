import { setTimeout as delay } from "node:timers/promises";
import { suite } from "uvu";
import * as assert from "uvu/assert";
import { framings, streamFramed } from "./framedStreams.js";
import { LinkedFleet } from "./LinkedFleet.js";
import { waitFor } from "./RouterFixture.js";
import { readStream, type SeenStream } from "./StreamCaller.js";

interface Context {
  fleet: LinkedFleet;
}

const test = suite<Context>("streams that come through a peer");

const lastEvent = 20;
const eventMilliseconds = 20;
const streamCount = 8;
const timeoutMilliseconds = 5_000;
const wholeIds = Array.from({ length: lastEvent }, (_, index) => index + 1);

test.before.each(async (context) => {
  const createScript = () => streamFramed({ framing: "chunks", lastEvent });
  context.fleet = await LinkedFleet.create({ routers: 3, upstreams: 2, createScript });
  const [router] = context.fleet.routers;
  assert.ok(router);
  router.store.publishConfiguration({ version: 2, timeoutMilliseconds });
  context.fleet.setLinks(0, "closed");
  await router.call("/read/1", { id: "q-first" });
  await waitFor(() => router.logLines.some((line) => line.includes("service.unreached")));
});

test.after.each(async ({ fleet }) => {
  await fleet.close();
});

/** Begins streams at the router that reaches no upstream. */
function beginStreams({ fleet }: Context): readonly Promise<SeenStream>[] {
  const port = fleet.routers[0]?.callersPort ?? 0;
  return Array.from({ length: streamCount }, (_, index) => {
    const id = `q-${String(index)}`;
    return readStream({ port, path: `/stream/${id}`, id });
  });
}

/** Ends an upstream as its crash does: its connections end, and it accepts no others. */
async function crash({ fleet }: Context): Promise<void> {
  const [upstream] = fleet.upstreams;
  assert.ok(upstream);
  fleet.routers.slice(1).forEach((_, index) => {
    fleet.setLinks(index + 1, "closed-to-new", [upstream]);
  });
  await upstream.close();
}

/** Checks whether a stream is whole, or does not look complete. */
function isTrue({ status, ids, rest, isComplete }: SeenStream): boolean {
  const isInOrder = ids.every((id, index) => id === index + 1);
  const isWhole = ids.length === lastEvent && rest === "";
  return isInOrder && (!isComplete || isWhole || status !== 200);
}

for (const framing of framings) {
  test(`are whole when upstreams answer with ${framing}`, async (context) => {
    const script = streamFramed({ framing, lastEvent, eventMilliseconds });
    context.fleet.upstreams.forEach((upstream) => {
      upstream.setScript(script);
    });
    const seen = await Promise.all(beginStreams(context));
    const whole: SeenStream = { status: 200, ids: wholeIds, rest: "", isComplete: true };
    assert.equal(
      seen,
      seen.map(() => whole),
    );
  });

  // Guards against streams that look complete when the peer in their way, or their upstream, ends (ORDER).
  test(`do not look complete too early when the peer is lost, with ${framing}`, async (context) => {
    const script = streamFramed({ framing, lastEvent, eventMilliseconds });
    context.fleet.upstreams.forEach((upstream) => {
      upstream.setScript(script);
    });
    const streams = beginStreams(context);
    await delay((eventMilliseconds * lastEvent) / 2);
    context.fleet.routers[1]?.kill();
    const seen = await Promise.all(streams);
    assert.equal(
      seen.filter((stream) => !isTrue(stream)),
      [],
    );
  });

  test(`do not look complete too early when an upstream crashes, with ${framing}`, async (context) => {
    const script = streamFramed({ framing, lastEvent, eventMilliseconds });
    context.fleet.upstreams.forEach((upstream) => {
      upstream.setScript(script);
    });
    const streams = beginStreams(context);
    await delay((eventMilliseconds * lastEvent) / 2);
    await crash(context);
    const seen = await Promise.all(streams);
    assert.equal(
      seen.filter((stream) => !isTrue(stream)),
      [],
    );
  });
}

test.run();
