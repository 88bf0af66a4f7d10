import { setTimeout as delay } from "node:timers/promises";
import { suite } from "uvu";
import * as assert from "uvu/assert";
import {
  Connections,
  readWholeBody,
  sendAttempt,
  type AttemptRequest,
} from "../../dist/upstreams/index.js";
import { RawUpstream, toResponse, type RawMoment, type RawScript } from "./RawUpstream.js";

const deadlineMilliseconds = 20_000;
const maxBodyBytes = 1_024;
const requestsPerRound = 8;
const rounds = 6;
const largeBodyBytes = 1_048_576;
/** Lifetime of an unused connection at the client, of an upstream that states 3 s. */
const idleMilliseconds = 1_000;

/** How an upstream ends its connections, and how requests are sent to it. */
interface ClosingCase {
  readonly script: RawScript;
  readonly moment?: RawMoment;
  readonly method?: "GET" | "HEAD" | "POST";
  readonly bodyBytes?: number;
  /** Time between two rounds of requests. */
  readonly pauseMilliseconds?: number;
}

function answer(headers: readonly string[], after: "keep" | "end" | "reset"): RawScript {
  return ({ attemptId, method, socket }) => {
    const body = method === "HEAD" ? "" : "body";
    socket.write(toResponse(200, [`x-attempt-id: ${attemptId}`, ...headers], body), () => {
      if (after === "end") {
        socket.end();
      } else if (after === "reset") {
        socket.resetAndDestroy();
      }
    });
  };
}

const closingCases: Readonly<Record<string, ClosingCase>> = {
  "says that it closes the connection": { script: answer(["connection: close"], "end") },
  "says that it closes the connection, and keeps it": {
    script: answer(["connection: close"], "keep"),
  },
  "closes the connection without saying so": { script: answer([], "end") },
  "resets the connection after its answer": { script: answer([], "reset") },
  "closes the connection in place of an answer": { script: ({ socket }) => socket.end() },
  "resets the connection in place of an answer": {
    script: ({ socket }) => socket.resetAndDestroy(),
  },
  "states a time that is over at the next request": {
    script: answer(["keep-alive: timeout=3"], "keep"),
    pauseMilliseconds: idleMilliseconds,
  },
  "states a time of one second": { script: answer(["keep-alive: timeout=1"], "keep") },
  "answers before the body is sent": {
    script: answer([], "keep"),
    moment: "after head",
    bodyBytes: largeBodyBytes,
  },
  "answers before the body is sent and closes the connection": {
    script: answer(["connection: close"], "end"),
    moment: "after head",
    bodyBytes: largeBodyBytes,
  },
  "answers HEAD and keeps the connection": { script: answer([], "keep"), method: "HEAD" },
  "answers HEAD and closes the connection": { script: answer([], "end"), method: "HEAD" },
  "answers GET and closes the connection": { script: answer([], "end"), method: "GET" },
  "resets the connection in place of an answer to GET": {
    script: ({ socket }) => socket.resetAndDestroy(),
    method: "GET",
  },
};

/** Sends an attempt and gets how it ended. */
async function send(connections: Connections, request: AttemptRequest): Promise<string> {
  const result = await sendAttempt(connections, request, Date.now);
  if (result.kind === "failure") {
    return result.class;
  }
  await readWholeBody(result, maxBodyBytes);
  return result.kind;
}

/** Sends rounds of concurrent attempts; gets how often each arrived, by how it ended. */
async function getArrivals(closing: ClosingCase): Promise<Record<string, number[]>> {
  const upstream = await RawUpstream.listen(closing.script, closing.moment);
  const connections = Connections.create();
  const ends = new Map<string, string>();
  for (let round = 0; round < rounds; round += 1) {
    const ids = Array.from(
      { length: requestsPerRound },
      (_unused, n) => `${String(round)}/${String(n)}`,
    );
    await Promise.all(
      ids.map(async (attemptId) => {
        ends.set(
          attemptId,
          await send(connections, toRequest(closing, upstream.address, attemptId)),
        );
      }),
    );
    await delay(closing.pauseMilliseconds ?? 0);
  }
  await connections.close();
  await upstream.close();
  return countArrivals(ends, upstream.received);
}

function toRequest(closing: ClosingCase, address: string, attemptId: string): AttemptRequest {
  const { method = "POST", bodyBytes = 4 } = closing;
  return {
    attemptId,
    address,
    method,
    path: "/charges",
    headers: {},
    body: method === "POST" ? Buffer.alloc(bodyBytes, "x") : undefined,
    deadline: Date.now() + deadlineMilliseconds,
    signal: undefined,
  };
}

function countArrivals(
  ends: ReadonlyMap<string, string>,
  received: readonly string[],
): Record<string, number[]> {
  const arrivals: Record<string, number[]> = {};
  for (const [id, end] of ends) {
    const count = received.filter((each) => each === id).length;
    arrivals[end] = [...new Set([...(arrivals[end] ?? []), count])].sort();
  }
  return arrivals;
}

/** Checks that no attempt arrived twice, and that the conclusions fit what arrived. */
function isTrue(arrivals: Readonly<Record<string, readonly number[]>>): boolean {
  const allowed: Readonly<Record<string, readonly number[]>> = { answer: [1], neverSent: [0] };
  return Object.entries(arrivals).every(([end, counts]) =>
    counts.every((count) => (allowed[end] ?? [0, 1]).includes(count)),
  );
}

const test = suite("requests that the HTTP client could send again");

for (const [name, closing] of Object.entries(closingCases)) {
  // Guards against an act that runs twice because the HTTP client sends it again by itself.
  test(`arrive at most once at an upstream that ${name}`, async () => {
    const arrivals = await getArrivals(closing);
    assert.ok(isTrue(arrivals), JSON.stringify(arrivals));
  });
}

test.run();
