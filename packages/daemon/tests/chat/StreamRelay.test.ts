import { Readable } from "node:stream";
import { suite } from "uvu";
import * as assert from "uvu/assert";
import { StreamRelay, type RelayResult } from "../../dist/chat/StreamRelay.js";

interface Relayed {
  readonly end: RelayResult;
  readonly offset: number;
  readonly text: string;
}

function createEvent(offset: number, attempt = "a1"): string {
  return `id: ${String(offset)}\ndata: {"id":"${attempt}","token":${String(offset)}}\n\n`;
}

const manyEvents = 1_000;
const maxBufferedEvents = 40;
const usage = 'id: 2\ndata: {"id":"a1","usage":{"prompt_tokens":3,"cached_tokens":1}}\n\n';
const done = "data: [DONE]\n\n";

/** Relays a stream that arrives in the given chunks. */
async function relay(chunks: readonly string[], isChecked = true): Promise<Relayed> {
  let text = "";
  const stream = StreamRelay.create({
    attemptId: "a1",
    isChecked,
    write: (events) => {
      text += events;
      return Promise.resolve();
    },
  });
  const end = await stream.relay(Readable.from(chunks.map((chunk) => Buffer.from(chunk))));
  return { end, offset: stream.getOffset(), text };
}

const test = suite("StreamRelay");

test("relays complete events only, however the stream is split into chunks", async () => {
  const whole = createEvent(1) + createEvent(2) + usage + done;
  const characters = [...whole];
  assert.equal(await relay(characters), { end: "complete", offset: 2, text: whole });
  const cut = whole.slice(0, createEvent(1).length + 20);
  assert.equal(await relay([cut]), { end: "interrupted", offset: 1, text: createEvent(1) });
});

test("stops at an event of another attempt, a repeated event or an early end", async () => {
  const first = createEvent(1);
  const mixed = { end: "mixed", offset: 1, text: first };
  assert.equal(await relay([first, createEvent(2, "a2"), done]), mixed);
  assert.equal(await relay([first, createEvent(1), done]), mixed);
  assert.equal(await relay([first, done]), mixed);
  assert.equal(await relay([first, "id: 2\ndata: {tok\n\n"]), mixed);
});

test("stops reading while the caller reads slowly", async () => {
  let produced = 0;
  const events = function* (): Generator<Buffer> {
    for (let offset = 1; offset <= manyEvents; offset += 1) {
      produced = offset;
      yield Buffer.from(createEvent(offset));
    }
  };
  let release: () => void = () => undefined;
  let writes = 0;
  const stream = StreamRelay.create({
    attemptId: "a1",
    isChecked: true,
    write: () => {
      writes += 1;
      return writes === 1 ? new Promise((resolve) => (release = resolve)) : Promise.resolve();
    },
  });
  const relaying = stream.relay(Readable.from(events()));
  await new Promise((resolve) => setImmediate(resolve));
  const producedBefore = produced;
  release();
  await relaying;
  assert.ok(producedBefore <= maxBufferedEvents, `${String(producedBefore)} events were read`);
  assert.is(produced, manyEvents);
});

test("relays events of another attempt while the guard is disabled", async () => {
  const other = createEvent(1, "a2") + done;
  assert.equal(await relay([other], false), { end: "complete", offset: 1, text: other });
});

test.run();
