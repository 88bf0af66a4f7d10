import { createStreamSuite } from "./createStreamSuite.js";
import * as assert from "uvu/assert";
import {
  callStream,
  createEvents,
  getAskedIds,
  goOn,
  resumeStream,
  streamPieces,
  whole,
  withoutStatus,
} from "./streamPieces.js";

const test = createStreamSuite("streams that go on at an upstream");

// Guards against a second run from its start behind events of the first one, after a piece without an id (ORDER).
for (const piece of [": keep-alive\n\n", "retry: 500\n\n", "\n", "event: ping\n\n"]) {
  test(`go on after the last id behind ${JSON.stringify(piece)}`, async (context) => {
    const first = streamPieces([...createEvents(1, 3), piece, "id: 4\nda"], "reset");
    assert.equal(await callStream(context, first, goOn), whole);
    assert.equal([...getAskedIds(context)].sort(), ["3", undefined]);
  });
}

// Guards against events that come twice, as nothing tells an upstream where to go on (ORDER).
for (const [name, pieces] of [
  ["no event has an id", ["data: a\n\n", "data: b\n\n"]],
  ["the last event has no id", [...createEvents(1, 3), "data: b\n\n"]],
  ["the last event removes the id", [...createEvents(1, 3), "id\ndata: b\n\n"]],
  ["the last id can be in no header", [...createEvents(1, 3), "id: \u0001\ndata: b\n\n"]],
] as const) {
  test(`are broken off when ${name}`, async (context) => {
    const first = streamPieces([...pieces, "id: 4\nda"], "reset");
    const seen = await callStream(context, first, goOn);
    const ids = pieces.flatMap((piece) => /^id: (\d)/.exec(piece)?.[1] ?? []).map(Number);
    assert.equal(withoutStatus(seen), { ids, rest: "", isComplete: false });
    assert.equal(getAskedIds(context).length, 1);
  });
}

// Guards against a second run from its start behind comments only being refused.
test("begin again when only comments were passed on", async (context) => {
  const first = streamPieces([": a\n\n", "retry: 5\n\n", "id: 1\nda"], "reset");
  assert.equal(await callStream(context, first, goOn), whole);
});

const broken = streamPieces([...createEvents(1, 4), "id: 5\nda"], "reset");

// Guards against upstreams that do not go on where they are asked to: pieces come twice or are left out (ORDER).
for (const [name, later] of [
  ["begins again", streamPieces(createEvents(1, 6), "complete")],
  ["repeats the last event", streamPieces(createEvents(4, 6), "complete")],
  ["leaves an event out", streamPieces(createEvents(6, 6), "complete")],
] as const) {
  test(`are broken off when an upstream ${name}`, async (context) => {
    const seen = await callStream(context, broken, later);
    assert.equal(withoutStatus(seen), { ids: [1, 2, 3, 4], rest: "", isComplete: false });
  });
}

test("go on at another upstream when one begins again for its caller", async (context) => {
  const first = streamPieces(createEvents(1, 6), "complete");
  const seen = await resumeStream(context, "4", first, goOn);
  assert.equal(seen, { ...whole, ids: [5, 6] });
});

test("are passed on with ids that rise by more than one", async (context) => {
  const pieces = [5, 9, 10, 17].map((id) => `id: ${String(id)}\ndata: a\n\n`);
  const first = streamPieces([...pieces.slice(0, 2), "id: 10\nda"], "reset");
  const seen = await callStream(context, first, streamPieces(pieces.slice(3), "complete"));
  assert.equal(seen, { ...whole, ids: [5, 9, 17] });
});

test("go on after an id with characters beyond ASCII", async (context) => {
  const id = "\u00c3\u00a91";
  const first = streamPieces([`id: ${id}\ndata: a\n\n`, "id: 2\nda"], "reset");
  const later = streamPieces(["id: 2\ndata: a\n\n"], "complete");
  assert.equal(await callStream(context, first, later), { ...whole, ids: [2] });
  assert.ok(getAskedIds(context).includes(id));
});

// Guards against requests that are refused or ended for the id that their caller names.
for (const lastEventId of ["-1", "abc", "", "9".repeat(8_000), 'a, "b"; \\', "999"]) {
  test(`are asked for with ${JSON.stringify(lastEventId.slice(0, 9))}`, async (context) => {
    const script = streamPieces(createEvents(1_000, 1_002), "complete");
    const seen = await resumeStream(context, lastEventId, script, script);
    assert.equal([seen.status, seen.isComplete], [200, true]);
    assert.is(getAskedIds(context)[0], lastEventId);
  });
}

test.run();
