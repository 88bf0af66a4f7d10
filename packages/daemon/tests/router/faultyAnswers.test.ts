import { refuseRequest, respondWith, ScriptedUpstream, streamEvents } from "@pistachioway/standins";
import { suite } from "uvu";
import * as assert from "uvu/assert";
import { RouterFixture, waitFor, type RawResponse } from "./RouterFixture.js";
import {
  firstThen,
  neverRespond,
  resetConnection,
  setScripts,
  writeRaw,
  type Context,
} from "./scripts.js";

const test = suite<Context>("faulty answers of upstreams");

const errorText = "error: no such thing";
const eventText = "id: 1\ndata: piece 1\n\n";
const ends = ["close", "reset"] as const;

test.before.each(async (context) => {
  context.upstreams = [ScriptedUpstream.create("i-1"), ScriptedUpstream.create("i-2")];
  context.fixture = await RouterFixture.create(context.upstreams);
});

test.after.each(async ({ fixture, upstreams }) => {
  await fixture.close(upstreams);
});

/** Creates a whole answer that is no stream. */
function createError(id: string, status: number, isFramed: boolean): string {
  const hasBody = status !== 204 && status !== 304;
  const framing = isFramed && hasBody ? `Content-Length: ${String(errorText.length)}\r\n` : "";
  return (
    `HTTP/1.1 ${String(status)} X\r\nRequest-Id: ${id}\r\nResponse-Stamp: stamp-${id}\r\n` +
    `Content-Type: text/plain\r\n${framing}Connection: close\r\n\r\n${hasBody ? errorText : ""}`
  );
}

/** Creates an answer of known length. */
function createAnswer(id: string, path: string): string {
  const isStream = path.startsWith("/stream/");
  const body = isStream ? eventText : "a whole answer";
  const type = isStream ? "text/event-stream" : "text/plain";
  return (
    `HTTP/1.1 200 OK\r\nRequest-Id: ${id}\r\nResponse-Stamp: stamp-${id}\r\n` +
    `Content-Type: ${type}\r\nContent-Length: ${String(body.length)}\r\n\r\n${body}`
  );
}

/** Checks whether a response looks whole: by its length or chunks, or by its end where it has neither. */
function looksWhole({ end, headers }: RawResponse): boolean {
  const isFramed =
    headers["content-length"] !== undefined || headers["transfer-encoding"] !== undefined;
  return end === "open" || (end === "closed" && !isFramed);
}

/** Describes a response that looks whole although it cannot be; undefined for any other. */
function describeFalse(response: RawResponse, what: string): string | undefined {
  const { status, body, end } = response;
  const isFalse = status >= 200 && status < 300 && looksWhole(response);
  return isFalse || body.includes("HTTP/1.1") || body.includes("error:")
    ? `${what}: ${String(status)} ${end} ${JSON.stringify(body)}`
    : undefined;
}

// Guards against the text of an error, or the end of a stream, in the middle of a caller's stream (ORDER, MIXED).
for (const status of [200, 201, 204, 206, 304, 400, 404, 409, 413, 429, 500, 502, 503, 504]) {
  test(`a stream that broke off is not continued by an answer ${String(status)} that is no stream`, async (context) => {
    const found: (string | undefined)[] = [];
    for (const isFramed of [true, false]) {
      const error = writeRaw((id) => createError(id, status, isFramed), "close");
      setScripts(context, firstThen(streamEvents(3, "broken"), error));
      const response = await context.fixture.call("/stream/1", { method: "POST", body: "x" });
      assert.match(response.body, /piece 3/);
      found.push(describeFalse(response, isFramed ? "framed" : "unframed"));
    }
    assert.equal(found, [undefined, undefined]);
  });
}

// Guards against an answer that looks whole although its upstream ended inside the head or the body (MIXED, ORDER).
for (const path of ["/read/1", "/act/1", "/stream/1"]) {
  for (const end of ends) {
    test(`an answer of ${path} that ends at any byte with a ${end} does not look whole`, async (context) => {
      const found: string[] = [];
      const { length } = createAnswer("q-1", path);
      for (let bytes = 1; bytes < length; bytes += 1) {
        setScripts(
          context,
          writeRaw((id) => createAnswer(id, path).slice(0, bytes), end),
        );
        const response = await context.fixture.call(path, { method: "POST", body: "x" });
        const description = describeFalse(response, `byte ${String(bytes)}`);
        found.push(...(description === undefined ? [] : [description]));
      }
      assert.equal(found, []);
    });
  }
}

/** Gets the memory that a router uses for bodies. */
function getKeptBytes({ router }: RouterFixture): number {
  const { memory } = router as unknown as { memory: { getUsedBytes: () => number } };
  return memory.getUsedBytes();
}

// Guards against memory of bodies that is never returned, which would in time refuse all requests.
test("the memory of bodies is returned, however requests end", async (context) => {
  const { fixture } = context;
  const scripts = [
    respondWith("x".repeat(20_000)),
    streamEvents(3, "complete"),
    streamEvents(3, "broken"),
    refuseRequest,
    resetConnection,
    neverRespond,
  ];
  for (const script of scripts) {
    setScripts(context, script);
    const calls = ["/read/1", "/act/1", "/stream/1", "/once/1"].map((path) =>
      fixture.call(path, { method: "POST", body: "x".repeat(5_000) }),
    );
    const abandoned = fixture.open();
    abandoned.write("POST /act/2 HTTP/1.1\r\nHost: chat.example\r\nRequest-Id: q-2\r\n");
    abandoned.write("Api-Key: k-1\r\nContent-Length: 9000\r\n\r\nincomplete");
    await Promise.all(calls);
    abandoned.destroy();
    await waitFor(() => getKeptBytes(fixture) === 0);
  }
});

test.run();
