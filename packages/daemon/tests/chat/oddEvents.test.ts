import { Readable } from "node:stream";
import { suite } from "uvu";
import * as assert from "uvu/assert";
import { StreamRelay, type RelayResult } from "../../dist/chat/StreamRelay.js";

const events = [
  'id: 1\ndata: {"id":"a1","token":"x"}\n\n',
  'id: 2\ndata: {"id":"a1","token":"é"}\n\n',
];
const usage = 'id: 2\ndata: {"id":"a1","usage":{"prompt_tokens":3,"cached_tokens":1}}\n\n';
const done = "data: [DONE]\n\n";
const whole = [...events, usage, done].join("");

/** Relays a stream that arrives in the given chunks. */
async function relay(chunks: readonly Buffer[]): Promise<[RelayResult, string]> {
  let text = "";
  const stream = StreamRelay.create({
    attemptId: "a1",
    isChecked: true,
    write: (written) => {
      text += written;
      return Promise.resolve();
    },
  });
  return [await stream.relay(Readable.from(chunks)), text];
}

const test = suite("odd events of chats");

// Guards against whole streams that are broken off for their line ends.
for (const lineEnd of ["\r\n", "\r"]) {
  test(`are whole with lines that end with ${JSON.stringify(lineEnd)}`, async () => {
    const text = whole.replaceAll("\n", lineEnd);
    assert.equal(await relay([Buffer.from(text)]), ["complete", text]);
    const bytes = [...Buffer.from(text)].map((byte) => Buffer.from([byte]));
    assert.equal(await relay(bytes), ["complete", text]);
  });
}

// Guards against a stream that is broken off behind its last event.
test("end with the last event, whatever follows it", async () => {
  assert.equal(await relay([Buffer.from(whole + events.join(""))]), ["complete", whole]);
  assert.equal(await relay([Buffer.from(whole + done)]), ["complete", whole]);
});

test("are whole with a byte order mark", async () => {
  assert.equal(await relay([Buffer.from(`\ufeff${whole}`)]), ["complete", whole]);
});

// Guards against streams that are broken off for a comment that keeps their connection alive.
test("go on after comments", async () => {
  const [first = "", second = ""] = events;
  const chunks = [first, ": keep-alive\n\n", "\n\n", second, "retry: 5\n\n", usage + done];
  const text = chunks.join("");
  assert.equal(await relay(chunks.map((chunk) => Buffer.from(chunk))), ["complete", text]);
});

// Guards against events that come twice when an engine goes on before the place it was asked for.
test("stop at an event that comes twice", async () => {
  const [first = "", second = ""] = events;
  assert.equal(await relay([Buffer.from(first + second + second)]), ["mixed", first + second]);
  assert.equal(await relay([Buffer.from(first + second + first)]), ["mixed", first + second]);
});

test("stop at an event with data and without an id", async () => {
  const [first = ""] = events;
  const second = 'data: {"id":"a1","token":"y"}\n\n';
  assert.equal(await relay([Buffer.from(first + second)]), ["mixed", first]);
});

test.run();
