import { announceLeaving, respondWith, type Script } from "@pistachioway/standins";
import { setTimeout as delay } from "node:timers/promises";
import * as assert from "uvu/assert";
import { createStreamSuite } from "./createStreamSuite.js";
import { streamFramed } from "./framedStreams.js";
import { firstThen, setScripts, type Context } from "./scripts.js";
import { standStill } from "./standStill.js";
import { waitFor } from "./RouterFixture.js";
import { readStream } from "./StreamCaller.js";

const test = createStreamSuite("answers that name no end and whose upstream's process ends");

const lastEvent = 40;
const wholeIds = Array.from({ length: lastEvent }, (_, index) => index + 1);
const pausedAfter = 5;
const runMilliseconds = 100;
const standstillMilliseconds = 500;
const drainingFields = "service=records zone=north software=v1 state=draining";

/** What becomes of the process that has begun an answer. */
type Fate = (context: Context, port: number) => Promise<void>;

async function crash({ upstreams }: Context, port: number): Promise<void> {
  await upstreams.find(({ address }) => address.endsWith(`:${String(port)}`))?.close();
}

function restart(id?: string): Fate {
  return async ({ upstreams }, port) => {
    const upstream = upstreams.find(({ address }) => address.endsWith(`:${String(port)}`));
    await upstream?.crashAndRestart(id);
  };
}

/** Lets the router stand still meanwhile, so that it learns of all at once. */
function behindStandstill(fate: Fate): Fate {
  return async (context, port) => {
    const isOver = fate(context, port);
    await delay(0);
    standStill(standstillMilliseconds);
    await isOver;
  };
}

/** Begins an answer by a script, and ends the process some time later. */
function beginThen(context: Context, begin: Script, fate: Fate): Script {
  return (request, response) => {
    const port = response.socket?.localPort ?? 0;
    begin(request, response);
    setTimeout(() => {
      void fate(context, port);
    }, runMilliseconds);
  };
}

const beginStream = streamFramed({ framing: "neither", lastEvent, pausedAfter });
const streamOn = streamFramed({ framing: "chunks", lastEvent });
const beginWhole: Script = ({ id }, response) => {
  response.socket?.write(
    `HTTP/1.1 200 OK\r\nRequest-Id: ${id}\r\nResponse-Stamp: stamp-${id}\r\nConnection: close\r\n\r\na part`,
  );
};

/** Calls each kind of route with a script of its own, and gets what the callers received. */
async function callEach(context: Context, begin: (script: Script) => Script): Promise<unknown> {
  const { fixture } = context;
  const port = fixture.callersPort;
  const readEvents = async (path: string): Promise<readonly [readonly number[], boolean]> => {
    setScripts(context, firstThen(begin(beginStream), streamOn));
    const { ids, isComplete } = await readStream({ port, path, id: path });
    return [ids, isComplete];
  };
  const call = async (path: string, method: string): Promise<readonly [number, boolean]> => {
    setScripts(context, firstThen(begin(beginWhole), respondWith("whole")));
    const { status, body } = await fixture.call(path, { id: path, method, body: "" });
    return [status, body === "whole"];
  };
  return {
    resumable: await readEvents("/stream/1"),
    once: await readEvents("/once/1"),
    read: await call("/read/1", "GET"),
    act: await call("/act/1", "POST"),
  };
}

/** Streams and reads go on at the other upstream; others are not complete. */
const mended = {
  resumable: [wholeIds, true],
  once: [wholeIds.slice(0, pausedAfter), false],
  read: [200, true],
  act: [502, false],
};

const fates: Readonly<Record<string, Fate>> = {
  "and is back under its id": restart(),
  "and is back under another id": restart("i-other"),
  "and is back under its id behind a standstill": behindStandstill(restart()),
  "and is back under another id behind a standstill": behindStandstill(restart("i-other")),
};

for (const [name, fate] of Object.entries(fates)) {
  // Guards against a part of an answer that looks complete, as another process accepts at its upstream's address (ORDER, MIXED).
  test(`do not look complete when it crashes ${name}`, async (context) => {
    const begin = (script: Script): Script => beginThen(context, script, fate);
    assert.equal(await callEach(context, begin), mended);
  });
}

// Guards against a part of an answer that looks complete, as its upstream had announced that it leaves (ORDER, MIXED).
test("do not look complete when it has announced that it leaves, and crashes", async (context) => {
  const begin = (script: Script): Script => announceLeaving(beginThen(context, script, crash));
  setScripts(context, begin(beginStream));
  const { callersPort: port } = context.fixture;
  const { ids, isComplete } = await readStream({ port, path: "/once/1", id: "q-1" });
  assert.equal([ids, isComplete], mended.once);
});

test("do not look complete when its entry says that it leaves, and it crashes", async (context) => {
  const { fixture, upstreams } = context;
  const hasLine = (text: string): boolean => fixture.logLines.some((line) => line.includes(text));
  await waitFor(() => hasLine("configuration.in-force version=2"));
  const leaveAndCrash: Fate = async (_context, port) => {
    upstreams.forEach((upstream) => {
      fixture.store.publishUpstream(upstream, "draining", 2);
    });
    await waitFor(() => upstreams.every(({ id }) => hasLine(`${id} ${drainingFields}`)));
    await crash(context, port);
  };
  setScripts(context, beginThen(context, beginWhole, leaveAndCrash));
  const { status } = await fixture.call("/act/1", { method: "POST", body: "x" });
  assert.is(status, 502);
});

test.run();
