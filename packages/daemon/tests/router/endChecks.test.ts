import type { Script } from "@pistachioway/standins";
import { setTimeout as delay } from "node:timers/promises";
import * as assert from "uvu/assert";
import { createStreamSuite } from "./createStreamSuite.js";
import { streamFramed } from "./framedStreams.js";
import { waitFor } from "./RouterFixture.js";
import { getArrivals, setScripts, type Context } from "./scripts.js";
import { standStill } from "./standStill.js";
import { readStream, type SeenStream } from "./StreamCaller.js";

const test = createStreamSuite("checks of the end of an answer that names none");

const lastEvent = 3;
/** Longer than a check takes. */
const checkMilliseconds = 300;
const crashMilliseconds = 20;
const callerCount = 100;
const standstillMilliseconds = 600;

function getFinishedLines({ fixture }: Context): readonly string[] {
  return fixture.logLines.filter((line) => line.includes("event=request.finished"));
}

// Guards against a request that is ended twice, as its caller leaves while the end of its stream is checked.
test("leave a request alone whose caller has left meanwhile", async (context) => {
  setScripts(context, streamFramed({ framing: "neither", lastEvent }));
  const caller = context.fixture.open();
  caller.on("data", (chunk) => {
    if (chunk.toString("latin1").includes(`id: ${String(lastEvent)}`)) {
      caller.destroy();
    }
  });
  caller.write(
    "POST /stream/1 HTTP/1.1\r\nHost: chat.example\r\nRequest-Id: q-1\r\nApi-Key: k-1\r\n\r\n",
  );
  await waitFor(() => getFinishedLines(context).length > 0);
  await delay(checkMilliseconds);
  const outcomes = getFinishedLines(context).map((line) => /outcome=(\S+)/.exec(line)?.[1]);
  assert.equal(outcomes, ["abandoned"]);
});

/** Refuses a request in an answer without a length, and ends the process of its upstream. */
function refuseAndCrash({ upstreams }: Context): Script {
  return ({ id }, response) => {
    const address = `127.0.0.1:${String(response.socket?.localPort)}`;
    response.socket?.end(
      `HTTP/1.1 503 X\r\nRequest-Id: ${id}\r\nNot-Run: 1\r\nConnection: close\r\n\r\n`,
    );
    setTimeout(() => {
      void upstreams.find((upstream) => upstream.address === address)?.close();
    }, crashMilliseconds);
  };
}

// Guards against a request that has certainly not run being reported as one that may have.
test("are not made of a refusal, whose statement is in its head", async (context) => {
  setScripts(context, refuseAndCrash(context));
  const { status } = await context.fixture.call("/act/1", { method: "POST", body: "x" });
  assert.is(status, 503);
});

/** Answers a stream, and lets the process stand still before the answer is read. */
const answerAndStandStill: Script = (request, response) => {
  streamFramed({ framing: "neither", lastEvent })(request, response);
  standStill(standstillMilliseconds);
};

// Guards against a request that is sent once more although its answer has come, as this process stood still (BUDGET).
test("do not follow an attempt that was given up while its answer waited to be read", async (context) => {
  setScripts(context, answerAndStandStill);
  const port = context.fixture.callersPort;
  const { ids, isComplete } = await readStream({ port, path: "/stream/1", id: "q-1" });
  assert.equal({ ids, isComplete }, { ids: [1, 2, 3], isComplete: true });
  assert.is(getArrivals(context), 1);
});

// Guards against whole answers being taken for lost when many end at once, as each end opens a connection (LOST).
test("take all answers that end in order at the same time for complete", async (context) => {
  const waiting: (() => void)[] = [];
  const stream = streamFramed({ framing: "neither", lastEvent });
  setScripts(context, (request, response) => {
    waiting.push(() => {
      stream(request, response);
    });
    if (waiting.length === callerCount) {
      waiting.forEach((answer) => {
        answer();
      });
    }
  });
  const port = context.fixture.callersPort;
  const calls: Promise<SeenStream>[] = [];
  for (let index = 0; index < callerCount; index += 1) {
    calls.push(readStream({ port, path: `/once/${String(index)}`, id: `q-${String(index)}` }));
    await waitFor(() => getArrivals(context) > index);
  }
  const seen = await Promise.all(calls);
  const whole: SeenStream = { status: 200, ids: [1, 2, 3], rest: "", isComplete: true };
  assert.equal(
    seen,
    calls.map(() => whole),
  );
  assert.is(getArrivals(context), callerCount);
});

test.run();
