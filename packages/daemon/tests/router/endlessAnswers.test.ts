import { respondWith, sendEndless, type EndlessAnswer, type Script } from "@pistachioway/standins";
import { setTimeout as delay } from "node:timers/promises";
import { suite } from "uvu";
import * as assert from "uvu/assert";
import {
  callProcess,
  setUpProcess,
  tearDownProcess,
  type ProcessContext,
} from "./ProcessContext.js";
import { waitFor, type RawResponse } from "./RouterFixture.js";

const test = suite<ProcessContext>("endless answers of upstreams");

/** Less than what the deploy file allows, so that the tests need fewer bytes to fill it. */
const nodeOptions = ["--max-old-space-size=80"];
const endlessRequests = 12;
const soundRequests = 20;
const soundIntervalMilliseconds = 50;

const json = "application/json";
const eventStream = "text/event-stream";
const event = "id: 1\ndata: piece\n\n";
const notRun = ["Not-Run", "1"];

/** The endless answers, by what they are, each with the route that gets it. */
const kinds: Readonly<Record<string, { route: string; answer: EndlessAnswer }>> = {
  "errors in small pieces": {
    route: "read",
    answer: { status: 500, contentType: json, pieceBytes: 4 },
  },
  "errors in large pieces": {
    route: "act",
    answer: { status: 500, contentType: json, pieceBytes: 60_000 },
  },
  "errors without chunks": {
    route: "stream",
    answer: { status: 500, contentType: json, pieceBytes: 1_000, isChunked: false },
  },
  "answers in small pieces": {
    route: "act",
    answer: { status: 200, contentType: json, pieceBytes: 4 },
  },
  "refusals in small pieces": {
    route: "read",
    answer: { status: 503, contentType: json, pieceBytes: 4, headers: notRun },
  },
  "refusals without chunks": {
    route: "act",
    answer: { status: 503, contentType: json, pieceBytes: 9, headers: notRun, isChunked: false },
  },
  "streams without events": {
    route: "stream",
    answer: { status: 200, contentType: eventStream, pieceBytes: 65 },
  },
  "streams of empty lines that end no event": {
    route: "stream",
    answer: { status: 200, contentType: eventStream, pieceBytes: 64, text: "a\n" },
  },
  "streams of events": {
    route: "stream",
    answer: { status: 200, contentType: eventStream, pieceBytes: event.length, text: event },
  },
  "streams that cannot be resumed": {
    route: "once",
    answer: { status: 200, contentType: eventStream, pieceBytes: 4 },
  },
};

test.before.each(async (context) => {
  await setUpProcess(context, { upstreamCount: 2, listedCount: 2, nodeOptions });
});

test.after.each(tearDownProcess);

/** Answers requests of paths that end with "endless" so, and all others at once. */
function spoil({ upstreams }: ProcessContext, answer: EndlessAnswer): void {
  const script: Script = (request, response) => {
    const respond = request.path.endsWith("endless") ? sendEndless(answer) : respondWith("sound");
    respond(request, response);
  };
  upstreams.forEach((upstream) => {
    upstream.setScript(script);
  });
}

function startEndless(context: ProcessContext, route: string): readonly Promise<RawResponse>[] {
  return Array.from({ length: endlessRequests }, (_, index) =>
    callProcess(context, `/${route}/endless`, `e-${String(index)}`),
  );
}

/** Sends sound requests one after another while the endless answers come, and counts them by status. */
async function countSound(context: ProcessContext): Promise<Record<string, number>> {
  const counts: Record<string, number> = {};
  for (let index = 0; index < soundRequests; index += 1) {
    const { status } = await callProcess(context, "/act/sound", `s-${String(index)}`);
    counts[status] = (counts[status] ?? 0) + 1;
    await delay(soundIntervalMilliseconds);
  }
  return counts;
}

// Guards against answers without end that fill the heap (LOST) or keep the process from all else (CONFIG).
for (const [name, { route, answer }] of Object.entries(kinds)) {
  test(`${name} neither end the process nor keep it from sound requests`, async (context) => {
    spoil(context, answer);
    const endless = startEndless(context, route);
    assert.equal(await countSound(context), { 200: soundRequests });
    assert.is(context.router.hasExited(), false);
    await context.router.kill();
    await Promise.all(endless);
  });
}

// Guards against answers that are each within their bound and together fill the memory.
test("answers that together exceed the memory for bodies fail, and the process lives on", async (context) => {
  // At this rate all of them grow side by side.
  const bytesPerSecond = 4_000_000;
  spoil(context, { status: 500, contentType: json, pieceBytes: 60_000, bytesPerSecond });
  const endless = startEndless(context, "act");
  await waitFor(() => context.router.getLines("answer.unbounded").length >= endlessRequests);
  const responses = await Promise.all(endless);
  assert.equal(new Set(responses.map(({ status }) => status)), new Set([502]));
  const lines = context.router.getLines("answer.unbounded");
  assert.ok(lines.some((line) => line.includes("bound=memory")));
  assert.equal((await callProcess(context, "/act/sound", "s-last")).status, 200);
});

// Guards against callers that wait for what will not come.
test("an endless refusal counts as one: the request is sent elsewhere", async (context) => {
  const [first, second] = context.upstreams;
  const refusal = { status: 503, contentType: json, pieceBytes: 9, headers: notRun };
  first?.setScript(sendEndless(refusal));
  second?.setScript(respondWith("sound"));
  for (let index = 0; index < 4; index += 1) {
    const { status, body } = await callProcess(context, "/act/1", `a-${String(index)}`);
    assert.equal([status, body], [200, "sound"]);
  }
});

test.run();
