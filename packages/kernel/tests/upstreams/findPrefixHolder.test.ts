import { findPrefixHolder, PrefixDirectory, type UpstreamEntry } from "@pistachioway/kernel";
import { suite } from "uvu";
import * as assert from "uvu/assert";
import { createBook, createUpstream } from "./samples.js";

const test = suite("findPrefixHolder");
const demand = {
  service: "engine",
  stickyKey: "chat",
  sharedBlocks: ["team", "chat"],
  now: 40_000,
};

function create(): {
  readonly knowledge: Parameters<typeof findPrefixHolder>[0];
  readonly engines: readonly [UpstreamEntry, UpstreamEntry, UpstreamEntry];
} {
  const book = createBook(3);
  const [a, b, c] = book.getEntries() as [UpstreamEntry, UpstreamEntry, UpstreamEntry];
  return { knowledge: { upstreams: book, prefixes: PrefixDirectory.create() }, engines: [a, b, c] };
}

test("names the home of an unknown chat, and of a known one the engine that read it", () => {
  const { knowledge, engines } = create();
  const [home, chosen, reader] = engines;
  assert.is(findPrefixHolder(knowledge, demand, chosen, home), home);
  knowledge.prefixes.addHolder(demand.sharedBlocks, reader, 39_000);
  assert.is(findPrefixHolder(knowledge, demand, chosen, home), reader);
});

test("names no engine that is avoided, gone, or the chosen one", () => {
  const { knowledge, engines } = create();
  const [home, chosen] = engines;
  home.avoid(demand.now);
  assert.is(findPrefixHolder(knowledge, demand, chosen, home), undefined);
  knowledge.upstreams.removeUpstream(home.record.id, demand.now);
  assert.is(findPrefixHolder(knowledge, { ...demand, now: 60_000 }, chosen, home), undefined);
  assert.is(findPrefixHolder(knowledge, demand, chosen, chosen), undefined);
});

test("names none for a prompt that shares nothing", () => {
  const { knowledge, engines } = create();
  const [home, chosen] = engines;
  assert.is(findPrefixHolder(knowledge, { ...demand, sharedBlocks: [] }, chosen, home), undefined);
});

test("guesses who read a chat before an engine that was added lately", () => {
  const { knowledge } = create();
  knowledge.upstreams.addUpstream(createUpstream({ id: "e-new" }), demand.now);
  const added = knowledge.upstreams.getEntry("e-new") as UpstreamEntry;
  const holder = findPrefixHolder(knowledge, demand, added, undefined);
  assert.ok(holder !== undefined && holder !== added);
});

test.run();
