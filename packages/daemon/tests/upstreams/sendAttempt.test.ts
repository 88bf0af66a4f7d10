import { suite } from "uvu";
import * as assert from "uvu/assert";
import {
  Connections,
  readWholeBody,
  sendAttempt,
  type AttemptRequest,
} from "../../dist/upstreams/index.js";
import { RawUpstream, toResponse } from "./RawUpstream.js";

const deadlineMilliseconds = 10_000;
const maxBodyBytes = 1_024;
const ownId = "d1/1/1";
const own = `x-attempt-id: ${ownId}`;
const foreign = "x-attempt-id: d1/1/0";
const notRun = "x-outcome: not-run";

/** Header lines of an answer to the attempt `ownId`, and what is concluded from it by its status. */
interface AnswerCase {
  readonly headers: readonly string[];
  readonly conclusions: Readonly<Record<number, string>>;
}

const lost = { 408: "lost 408", 421: "lost 421", 429: "lost 429", 503: "lost 503" };
const mismatch = { 200: "mismatch", 408: "mismatch", 503: "mismatch" };

const answerCases: Readonly<Record<string, AnswerCase>> = {
  "one statement": {
    headers: [own, notRun],
    conclusions: {
      200: "lost 200",
      400: "answer 400",
      404: "answer 404",
      408: "refused",
      421: "refused",
      429: "refused",
      500: "answer 500",
      503: "refused",
    },
  },
  "no statement": {
    headers: [own],
    conclusions: { 200: "answer 200", 400: "answer 400", 500: "answer 500", ...lost },
  },
  "an empty statement": { headers: [own, "x-outcome:"], conclusions: lost },
  "another outcome": { headers: [own, "x-outcome: unknown"], conclusions: lost },
  "the outcome complete": { headers: [own, "x-outcome: complete"], conclusions: lost },
  "two statements": { headers: [own, notRun, notRun], conclusions: lost },
  "contradicting statements": { headers: [own, notRun, "x-outcome: complete"], conclusions: lost },
  "a statement with a foreign id": { headers: [foreign, notRun], conclusions: mismatch },
  "a statement without an id": { headers: [notRun], conclusions: mismatch },
  "a statement with an empty id": { headers: ["x-attempt-id:", notRun], conclusions: mismatch },
  "a statement with two ids": { headers: [own, foreign, notRun], conclusions: mismatch },
  "a statement with the id twice": { headers: [own, own, notRun], conclusions: mismatch },
};

function createRequest(address: string, attemptId = ownId): AttemptRequest {
  return {
    attemptId,
    address,
    method: "POST",
    path: "/charges",
    headers: {},
    body: Buffer.from("meal"),
    deadline: Date.now() + deadlineMilliseconds,
    signal: undefined,
  };
}

/** Sends one attempt to an upstream that runs it and then writes bytes; gets the conclusion. */
async function getConclusion(bytes: string, isChecked = true): Promise<string> {
  const upstream = await RawUpstream.listen(({ socket }) => socket.end(bytes));
  const connections = Connections.create(isChecked);
  const result = await sendAttempt(connections, createRequest(upstream.address), Date.now);
  const status = result.status === undefined ? "" : ` ${String(result.status)}`;
  if (result.kind === "answer") {
    await readWholeBody(result, maxBodyBytes);
  }
  await connections.close();
  await upstream.close();
  return `${result.kind === "answer" ? "answer" : result.class}${status}`;
}

/** Gets what is concluded from an answer, by its status. */
async function getConclusions(answerCase: AnswerCase): Promise<unknown> {
  const conclusions: Record<string, string> = {};
  for (const status of Object.keys(answerCase.conclusions)) {
    const bytes = toResponse(Number(status), answerCase.headers, "body");
    conclusions[status] = await getConclusion(bytes);
  }
  return conclusions;
}

const test = suite("sendAttempt");

for (const [name, answerCase] of Object.entries(answerCases)) {
  // Guards against an act that ran and is sent again, or whose caller is told that it did not run.
  test(`an answer with ${name} is a proof only by its status, statement and id`, async () => {
    assert.equal(await getConclusions(answerCase), answerCase.conclusions);
  });
}

// Guards against a test of answers that would pass without the decision.
test("without the validation of answers, 503 without a statement is passed on", async () => {
  const bytes = toResponse(503, [own], "body");
  assert.equal(
    { checked: await getConclusion(bytes), unchecked: await getConclusion(bytes, false) },
    { checked: "lost 503", unchecked: "answer 503" },
  );
});

// Guards against a conclusion from an answer that broke off.
test("a refusal that is cut off after its head may have run", async () => {
  const head = ["HTTP/1.1 503 Status", own, notRun, "content-length: 100", "", ""].join("\r\n");
  assert.is(await getConclusion(head), "lost");
});

// Guards against an act that runs at two hosts because an earlier refusal was written once more.
test("a refusal that is written again on a kept connection is not the answer to the next attempt", async () => {
  const upstream = await RawUpstream.listen(({ attemptId, socket }) => {
    const isFirst = attemptId === ownId;
    socket.write(toResponse(503, [own, notRun]));
    if (!isFirst) {
      socket.write(toResponse(200, [`x-attempt-id: ${attemptId}`]));
    }
  });
  const connections = Connections.create();
  const classes: string[] = [];
  for (const id of [ownId, "d1/1/2"]) {
    const request = createRequest(upstream.address, id);
    const result = await sendAttempt(connections, request, Date.now);
    classes.push(result.kind === "failure" ? result.class : result.kind);
  }
  await connections.close();
  await upstream.close();
  assert.equal(classes, ["refused", "mismatch"]);
});

// Guards against an endless refusal, whose bytes were all kept until the deadline.
test("a refusal without end is one, and is not read on", async () => {
  const piece = "z".repeat(maxBodyBytes);
  const head = `HTTP/1.1 503 X\r\n${own}\r\n${notRun}\r\n\r\n`;
  let hasClosed = false;
  const upstream = await RawUpstream.listen(({ socket }) => {
    socket.write(head);
    const timer = setInterval(() => socket.write(piece.repeat(64)), 5);
    socket.on("error", () => undefined);
    socket.once("close", () => {
      hasClosed = true;
      clearInterval(timer);
    });
  });
  const connections = Connections.create();
  const result = await sendAttempt(connections, createRequest(upstream.address), Date.now);
  assert.is(result.kind === "failure" ? result.class : "answer", "refused");
  while (!hasClosed) {
    await new Promise((resolve) => setTimeout(resolve, 5));
  }
  assert.is(connections.memory.getUsedBytes(), 0);
  await connections.close();
  await upstream.close();
});

test.run();
