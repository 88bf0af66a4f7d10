import { respondWith, type ReceivedRequest, type Script } from "@pistachioway/standins";
import type { ServerResponse } from "node:http";
import { setTimeout as delay } from "node:timers/promises";
import * as assert from "uvu/assert";
import { StalledUpstream } from "../exchange/StalledUpstream.js";
import { createStreamSuite } from "./createStreamSuite.js";
import { streamFramed } from "./framedStreams.js";
import { readResponse } from "./RouterFixture.js";
import { firstThen, setScripts, writeRaw, type Context } from "./scripts.js";
import { readStream } from "./StreamCaller.js";

const test = createStreamSuite("checks of upstreams whose queue of connections is full");

const lastEvent = 3;
/** Time after which the answer ends; the check that follows takes 550 ms. */
const answerMilliseconds = 900;
/** Ends within the check. */
const deadlineMilliseconds = 1_200;
const checkMilliseconds = 800;
const stream = streamFramed({ framing: "neither", lastEvent });
const whole = writeRaw(
  (id) =>
    `HTTP/1.1 200 OK\r\nRequest-Id: ${id}\r\nResponse-Stamp: stamp-${id}\r\nConnection: close\r\n\r\nwhole`,
  "close",
);
let stalled: StalledUpstream | undefined;

test.after.each(async () => {
  await stalled?.close();
  stalled = undefined;
});

/** Answers by a script after a time, when the address of its upstream accepts no connections any more. */
function stallBefore(context: Context, script: Script): Script {
  const answer = async (request: ReceivedRequest, response: ServerResponse): Promise<void> => {
    const isDue = delay(answerMilliseconds);
    const { localPort = 0 } = response.socket ?? {};
    const address = `127.0.0.1:${String(localPort)}`;
    context.upstreams.find((upstream) => upstream.address === address)?.stopListening();
    stalled = await StalledUpstream.create(localPort);
    await stalled.stall();
    await isDue;
    script(request, response);
  };
  return (request, response) => {
    void answer(request, response);
  };
}

/** Gets how the request ended, once the check must have ended too. */
async function getOutcomes({ fixture }: Context): Promise<readonly (string | undefined)[]> {
  await delay(checkMilliseconds);
  return fixture.logLines
    .filter((line) => line.includes("event=request.finished"))
    .map((line) => /outcome=(\S+)/.exec(line)?.[1]);
}

// Guards against a stream that looks complete, or ends twice, when its deadline passes while its end is checked (ORDER).
test("leave a stream broken off whose deadline passes meanwhile", async (context) => {
  setScripts(context, stallBefore(context, stream));
  const { ids, isComplete } = await readStream({
    ...{ port: context.fixture.callersPort, path: "/once/1", id: "q-1" },
    headers: { "deadline-ms": String(deadlineMilliseconds) },
  });
  assert.equal({ ids, isComplete }, { ids: [1, 2, 3], isComplete: false });
  assert.is((await getOutcomes(context)).length, 1);
});

// Guards against a stream to a caller that knows no chunks, which ends in order when its deadline passes (ORDER).
test("leave a stream to a caller of HTTP/1.0 reset whose deadline passes meanwhile", async (context) => {
  setScripts(context, stallBefore(context, stream));
  const caller = context.fixture.open();
  caller.write(
    "POST /once/1 HTTP/1.0\r\nHost: chat.example\r\nRequest-Id: q-1\r\nApi-Key: k-1\r\n" +
      `Deadline-Ms: ${String(deadlineMilliseconds)}\r\n\r\n`,
  );
  const { status, end } = await readResponse(caller);
  assert.equal([status, end], [200, "reset"]);
  assert.is((await getOutcomes(context)).length, 1);
});

// Guards against an answer that is passed on although nothing shows that it is whole (MIXED).
test("leave open whether a request has run whose deadline passes meanwhile", async (context) => {
  setScripts(context, stallBefore(context, whole));
  const caller = context.fixture.open();
  caller.write(
    "POST /act/1 HTTP/1.1\r\nHost: chat.example\r\nRequest-Id: q-1\r\nApi-Key: k-1\r\n" +
      `Content-Length: 0\r\nDeadline-Ms: ${String(deadlineMilliseconds)}\r\n\r\n`,
  );
  const { status } = await readResponse(caller);
  assert.is(status, 504);
  assert.is((await getOutcomes(context)).length, 1);
});

// Guards against a check without end, whose callers wait until their deadline.
test("take the upstream for gone, and ask for the answer elsewhere", async (context) => {
  setScripts(context, firstThen(stallBefore(context, whole), respondWith("elsewhere")));
  const { status, body } = await context.fixture.call("/read/1", { id: "q-1" });
  assert.equal([status, body], [200, "elsewhere"]);
  assert.is((await getOutcomes(context)).length, 1);
});

test.run();
