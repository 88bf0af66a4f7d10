import {
  chooseUpstream,
  guessFormerUpstream,
  type UpstreamTable,
  type UpstreamRequirements,
} from "@pistachioway/kernel";
import { suite } from "uvu";
import * as assert from "uvu/assert";
import { createBook, createUpstream } from "./samples.js";

const test = suite("chooseUpstream");

function choose(book: UpstreamTable, part: Partial<UpstreamRequirements> = {}) {
  return chooseUpstream(book.getEntries(), {
    service: "engine",
    zone: "north",
    stickyKey: "chat-1",
    excluded: new Set(),
    maxRunning: 100,
    now: 0,
    ...part,
  });
}

test("sends a chat to the same engine on every daemon", () => {
  const ids = ["chat-1", "chat-2", "chat-3"].map((stickyKey) => [
    choose(createBook(13), { stickyKey })?.entry.record.id,
    choose(createBook(13), { stickyKey })?.entry.record.id,
  ]);
  ids.forEach(([first, second]) => {
    assert.is(first, second);
  });
});

test("moves only the chats of an engine that leaves", () => {
  const keys = Array.from({ length: 200 }, (_, index) => `chat-${String(index)}`);
  const before = keys.map((stickyKey) => choose(createBook(13), { stickyKey })?.entry.record.id);
  const book = createBook(13);
  book.removeUpstream("e-4", 0);
  const moved = keys.filter((stickyKey, index) => {
    const id = choose(book, { stickyKey })?.entry.record.id;
    return id !== before[index] && before[index] !== "e-4";
  });
  assert.equal(moved, []);
});

test("a hot key spills to the next engine in order, whose prefix can be fetched from the first", () => {
  const book = createBook(13);
  const home = choose(book)?.entry;
  for (let count = 0; count < 3; count += 1) {
    home?.startRequest(0);
  }
  const choice = choose(book);
  assert.is(choice?.reason, "spilled");
  assert.is(choice?.preferred, home);
  assert.is.not(choice?.entry, home);
});

test("a hot key never puts an engine far above the mean", () => {
  const book = createBook(13);
  const counts = new Map<string, number>();
  for (let request = 0; request < 260; request += 1) {
    // A third of the requests are about one thing.
    const stickyKey = request % 3 === 0 ? "hot" : `chat-${String(request)}`;
    const entry = choose(book, { stickyKey })?.entry;
    entry?.startRequest(0);
    const id = entry?.record.id ?? "";
    counts.set(id, (counts.get(id) ?? 0) + 1);
  }
  const most = Math.max(...counts.values());
  assert.ok(most <= (260 / 13) * 1.4 + 3, `${String(most)} on one engine`);
});

test("leaves failing engines alone while there are others", () => {
  const book = createBook(2);
  const home = choose(book)?.entry;
  home?.avoid(0);
  assert.is.not(choose(book, { now: 10 })?.entry, home);
  assert.is(choose(book, { now: 1_100 })?.entry, home);
  const [only] = createBook(1).getEntries();
  only?.avoid(0);
  assert.is(only && chooseUpstream([only], { ...base, now: 10 })?.entry, only);
});

const base: UpstreamRequirements = {
  service: "engine",
  zone: "north",
  stickyKey: undefined,
  excluded: new Set(),
  maxRunning: 100,
  now: 0,
};

test("leaves a silent engine alone, and takes it again once a probe or bytes came through", () => {
  const book = createBook(2);
  const home = choose(book)?.entry;
  home?.startRequest(0);
  assert.equal(
    [600, 800, 900].map((now) => home?.avoidIfUnresponsive(now)),
    [false, true, false],
  );
  assert.is.not(choose(book, { now: 900 })?.entry, home);
  assert.is.not(choose(book, { now: 2_000 })?.entry, home, "no probe has connected");
  assert.equal(
    [900, 1_200, 1_300].map((now) => home?.startProbe(now)),
    [false, true, false],
  );
  home?.markReachable();
  assert.is(choose(book, { now: 2_000 })?.entry, home);
});

test("takes an engine in the middle of streams as silent sooner", () => {
  const [entry] = createBook(1).getEntries();
  entry?.startRequest(0);
  entry?.startStream();
  assert.equal(
    [400, 401].map((now) => entry?.avoidIfUnresponsive(now)),
    [false, true],
  );
});

test("without a key it stays in the zone until the zone's upstreams are nearly full", () => {
  const book = createBook(2, ["north", "south"]);
  const near = book.getEntry("e-1");
  const at = (load: number) => {
    while ((near?.running ?? load) < load) {
      near?.startRequest(0);
    }
    return choose(book, { stickyKey: undefined })?.entry.record.zone;
  };
  assert.equal([at(0), at(20), at(30)], ["north", "north", "south"]);
});

test("a daemon keeps to its part of an upstream's connections, and then refuses at once", () => {
  const book = createBook(2);
  const taken = Array.from({ length: 5 }, () => {
    const entry = choose(book, { maxRunning: 2 })?.entry;
    entry?.startRequest(0);
    return entry?.record.id;
  });
  assert.equal(
    taken.map((id) => id !== undefined),
    [true, true, true, true, false],
  );
  assert.equal(
    book.getEntries().map(({ running }) => running),
    [2, 2],
  );
});

test("takes none that drains, is excluded, or serves something else", () => {
  const book = createBook(1);
  assert.is(choose(book, { service: "other" }), undefined);
  assert.is(choose(book, { excluded: new Set(["e-1"]) }), undefined);
});

test("guesses who served a chat before an engine that was added lately", () => {
  const book = createBook(4);
  const now = 60_000;
  const before = choose(book, { now })?.entry;
  let chosen = before;
  for (let added = 0; chosen === before; added += 1) {
    book.addUpstream(createUpstream({ id: `new-${String(added)}` }), now);
    chosen = choose(book, { now })?.entry;
  }
  const demand = { ...base, stickyKey: "chat-1", now };
  assert.is(chosen && guessFormerUpstream(book.getEntries(), demand, chosen), before);
});

test("guesses the engine that leaves, and nothing where nothing has changed", () => {
  const book = createBook(4);
  const now = 60_000;
  const before = choose(book, { now })?.entry;
  const demand = { ...base, stickyKey: "chat-1", now };
  assert.is(before && guessFormerUpstream(book.getEntries(), demand, before), undefined);
  book.addUpstream(createUpstream({ id: before?.record.id, state: "draining", sequence: 2 }), now);
  const after = choose(book, { now })?.entry;
  assert.is(after && guessFormerUpstream(book.getEntries(), demand, after), before);
});

test.run();
