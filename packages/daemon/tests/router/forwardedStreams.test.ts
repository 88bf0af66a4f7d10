import { setTimeout as delay } from "node:timers/promises";
import * as assert from "uvu/assert";
import { createPeerStreamSuite, type PeerContext } from "./createPeerStreamSuite.js";
import { framings, streamFramed } from "./framedStreams.js";
import { readStream, type SeenStream } from "./StreamCaller.js";

const lastEvent = 20;
const eventMilliseconds = 20;
const streamCount = 8;
const test = createPeerStreamSuite(
  "streams that come through a peer",
  streamFramed({ framing: "chunks", lastEvent }),
);
const wholeIds = Array.from({ length: lastEvent }, (_, index) => index + 1);

/** Begins streams at the router that reaches no upstream. */
function beginStreams({ fleet }: PeerContext): readonly Promise<SeenStream>[] {
  const port = fleet.routers[0]?.callersPort ?? 0;
  return Array.from({ length: streamCount }, (_, index) => {
    const id = `q-${String(index)}`;
    return readStream({ port, path: `/stream/${id}`, id });
  });
}

/** Ends an upstream as its crash does: its connections end, and it accepts no others. */
async function crash({ fleet }: PeerContext): Promise<void> {
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
