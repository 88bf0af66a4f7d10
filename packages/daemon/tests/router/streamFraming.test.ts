import { createStreamSuite } from "./createStreamSuite.js";
import { announceLeaving, respondWith, type Script } from "@pistachioway/standins";
import { setTimeout as delay } from "node:timers/promises";
import { suite } from "uvu";
import * as assert from "uvu/assert";
import { setUpProcess, tearDownProcess, type ProcessContext } from "./ProcessContext.js";
import { waitFor } from "./RouterFixture.js";
import { framings, streamFramed, type Framing } from "./framedStreams.js";
import { firstThen, getArrivals, setScripts, writeRaw, type Context } from "./scripts.js";
import { readStream, type SeenStream } from "./StreamCaller.js";

const killed = suite<ProcessContext>("streams whose router is killed");

const streamCount = 12;
const lastEvent = 40;
const eventMilliseconds = 50;
const listenerEndMilliseconds = 20;

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

const ended = createStreamSuite("streams whose upstream ends");

/** Calls a route of streams and reads its response. */
function callStream({ fixture }: Context, route: "stream" | "once"): Promise<SeenStream> {
  return readStream({ port: fixture.callersPort, path: `/${route}/1`, id: "q-1" });
}

/** Ends an upstream as its crash does: it accepts no connections, and those that are open end. */
async function crash({ upstreams }: Context, address: string): Promise<void> {
  await upstreams.find((upstream) => upstream.address === address)?.close();
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

/** Streams some events, and then ends the process of their upstream. */
function crashAfter(context: Context, framing: Framing, pausedAfter: number): Script {
  return (request, response) => {
    const { localAddress = "", localPort = 0 } = response.socket ?? {};
    streamFramed({ framing, lastEvent, pausedAfter })(request, response);
    setTimeout(() => {
      void crash(context, `${localAddress}:${String(localPort)}`);
    }, eventMilliseconds);
  };
}

// Guards against the crash of an upstream between two events that is taken for the end of its stream (ORDER).
for (const framing of framings) {
  ended(`go on after a crash between two events of an answer with ${framing}`, async (context) => {
    const goOn = streamFramed({ framing, lastEvent, text: "a longer text" });
    setScripts(context, firstThen(crashAfter(context, framing, 5), goOn));
    assert.equal(await callStream(context, "stream"), whole);
  });

  ended(`are complete after a crash behind their last event, with ${framing}`, async (context) => {
    const goOn = streamFramed({ framing, lastEvent });
    setScripts(context, firstThen(crashAfter(context, framing, lastEvent), goOn));
    assert.equal(await callStream(context, "stream"), whole);
  });

  ended(`that may not go on are broken off after a crash, with ${framing}`, async (context) => {
    setScripts(context, crashAfter(context, framing, 5));
    const seen = await callStream(context, "once");
    assert.equal([seen.ids, seen.isComplete], [[1, 2, 3, 4, 5], false]);
  });

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

/** Ends the connections of an upstream, and its listener some time later, as the end of its process may. */
function crashSlowly({ upstreams }: Context): Script {
  return (request, response) => {
    const address = `127.0.0.1:${String(response.socket?.localPort)}`;
    const upstream = upstreams.find((each) => each.address === address);
    streamFramed({ framing: "neither", lastEvent, pausedAfter: 5 })(request, response);
    setTimeout(() => {
      upstream?.endConnections();
      setTimeout(() => upstream?.stopListening(), listenerEndMilliseconds);
    }, eventMilliseconds);
  };
}

// Guards against the crash of a process whose listener ends after its connections being taken for the end of a stream (ORDER).
ended(
  "go on after a crash in which the upstream accepts connections a little longer",
  async (context) => {
    const goOn = streamFramed({ framing: "chunks", lastEvent });
    setScripts(context, firstThen(crashSlowly(context), goOn));
    assert.equal(await callStream(context, "stream"), whole);
  },
);

/** Streams whole answers without length and chunks, while its upstream leaves and accepts no further connections. */
function leaveBeforeEnd({ upstreams }: Context, delayMilliseconds: number): Script {
  const stream = streamFramed({ framing: "neither", lastEvent, eventMilliseconds: 5 });
  return announceLeaving((request, response) => {
    const address = `127.0.0.1:${String(response.socket?.localPort)}`;
    const upstream = upstreams.find((each) => each.address === address);
    if (delayMilliseconds === 0) {
      upstream?.stopListening();
    } else {
      setTimeout(() => upstream?.stopListening(), delayMilliseconds);
    }
    stream(request, response);
  });
}

// Guards against whole answers of upstreams that stop in order being thrown away (LOST).
for (const route of ["stream", "once"] as const) {
  ended(
    `of /${route} are whole when an upstream that leaves stops to listen before it ends them`,
    async (context) => {
      const leave = leaveBeforeEnd(context, listenerEndMilliseconds);
      setScripts(context, firstThen(leave, streamFramed({ framing: "chunks", lastEvent })));
      assert.equal(await callStream(context, route), whole);
    },
  );
}

// Guards against an end that nothing vouches for being taken for that of the stream: a crash would look the same (ORDER).
for (const [route, isComplete] of [
  ["stream", true],
  ["once", false],
] as const) {
  const outcome = isComplete ? "go on elsewhere" : "are broken off";
  ended(
    `of /${route} ${outcome} when an upstream stops to listen before it begins them`,
    async (context) => {
      const leave = leaveBeforeEnd(context, 0);
      setScripts(context, firstThen(leave, streamFramed({ framing: "chunks", lastEvent })));
      const seen = await callStream(context, route);
      assert.equal([seen.ids, seen.isComplete], [wholeIds, isComplete]);
    },
  );
}

/** Runs a request and ends its upstream's process after a part of the answer, which has neither a length nor chunks. */
function crashAfterPart(context: Context, part: string): Script {
  return ({ id }, response) => {
    const { localAddress = "", localPort = 0 } = response.socket ?? {};
    response.socket?.write(
      `HTTP/1.1 200 OK\r\nRequest-Id: ${id}\r\nResponse-Stamp: stamp-${id}\r\nConnection: close\r\n\r\n${part}`,
    );
    setTimeout(() => {
      void crash(context, `${localAddress}:${String(localPort)}`);
    }, eventMilliseconds);
  };
}

for (const [when, part] of Object.entries({
  "within it": "a part",
  "before its first byte": "",
})) {
  // Guards against a part of a whole answer that is passed on as the answer when its upstream crashes (MIXED).
  ended(`is no whole answer when its upstream crashes ${when}`, async (context) => {
    setScripts(context, firstThen(crashAfterPart(context, part), respondWith("whole")));
    const read = await context.fixture.call("/read/1", { id: "q-1" });
    assert.equal([read.status, read.body], [200, "whole"]);
  });

  ended(
    `leaves open whether a request has run when its upstream crashes in the answer, ${when}`,
    async (context) => {
      setScripts(context, crashAfterPart(context, part));
      const act = await context.fixture.call("/act/1", { id: "q-1", method: "POST", body: "x" });
      assert.is(act.status, 502);
    },
  );
}

// Guards against answers that can have no body being taken for streams that broke off inside an event.
for (const [name, method, status] of [
  ["to HEAD", "HEAD", "200 OK"],
  ["of status 204", "POST", "204 No Content"],
] as const) {
  ended(`takes an answer ${name} on a route of streams as whole`, async (context) => {
    const createText = (id: string): string =>
      `HTTP/1.1 ${status}\r\nRequest-Id: ${id}\r\nResponse-Stamp: stamp-${id}\r\nConnection: close\r\n\r\n`;
    setScripts(context, writeRaw(createText, "close"));
    const caller = context.fixture.open();
    caller.write(
      `${method} /stream/1 HTTP/1.1\r\nHost: chat.example\r\nRequest-Id: q-1\r\nApi-Key: k-1\r\n\r\n`,
    );
    await waitFor(() => context.fixture.logLines.some((line) => line.includes("outcome=")));
    caller.destroy();
    assert.ok(context.fixture.logLines.some((line) => line.includes("outcome=answered")));
    assert.is(getArrivals(context), 1);
  });
}

ended.run();
