import {
  findPrefixHolder,
  getHash,
  PrefixDirectory,
  type UpstreamEntry,
} from "@pistachioway/kernel";
import { suite } from "uvu";
import * as assert from "uvu/assert";
import { createTable, createUpstream } from "./samples.js";

const test = suite("findPrefixHolder");
const lookup = {
  service: "engine",
  stickyKey: "chat",
  sharedBlocks: [getHash("team"), getHash("chat")],
  now: 40_000,
};

function create(): {
  readonly state: Parameters<typeof findPrefixHolder>[0];
  readonly engines: readonly [UpstreamEntry, UpstreamEntry, UpstreamEntry];
} {
  const upstreams = createTable(3);
  const [a, b, c] = upstreams.getEntries() as [UpstreamEntry, UpstreamEntry, UpstreamEntry];
  return { state: { upstreams, prefixes: PrefixDirectory.create() }, engines: [a, b, c] };
}

test("finds the preferred engine of an unknown chat, and the known reader of a known one", () => {
  const { state, engines } = create();
  const [preferred, chosen, reader] = engines;
  assert.is(findPrefixHolder(state, lookup, chosen, preferred), preferred);
  state.prefixes.addHolder(lookup.sharedBlocks, reader, 39_000);
  assert.is(findPrefixHolder(state, lookup, chosen, preferred), reader);
});

test("finds no engine that is avoided, removed, or the chosen one", () => {
  const { state, engines } = create();
  const [preferred, chosen] = engines;
  preferred.avoid(lookup.now);
  assert.is(findPrefixHolder(state, lookup, chosen, preferred), undefined);
  state.upstreams.removeUpstream(preferred.record.id, lookup.now);
  assert.is(findPrefixHolder(state, { ...lookup, now: 60_000 }, chosen, preferred), undefined);
  assert.is(findPrefixHolder(state, lookup, chosen, chosen), undefined);
});

// Guards against the cause of issue 27, ORDER: what two versions write does not fit together, nor what they cache.
test("finds no engine of another software version, neither preferred nor known nor former", () => {
  const { state, engines } = create();
  const [preferred, , reader] = engines;
  state.upstreams.addUpstream(createUpstream({ id: "e-new", softwareVersion: "v2" }), lookup.now);
  const chosen = state.upstreams.getEntry("e-new") as UpstreamEntry;
  assert.is(findPrefixHolder(state, lookup, chosen, preferred), undefined);
  assert.is(findPrefixHolder(state, lookup, chosen, undefined), undefined);
  state.prefixes.addHolder(lookup.sharedBlocks, reader, 39_000);
  assert.is(findPrefixHolder(state, lookup, chosen, preferred), undefined);
});

test("finds none for a prompt without shared blocks", () => {
  const { state, engines } = create();
  const [preferred, chosen] = engines;
  assert.is(findPrefixHolder(state, { ...lookup, sharedBlocks: [] }, chosen, preferred), undefined);
});

test("guesses which engine read a chat before a recently added one", () => {
  const { state } = create();
  state.upstreams.addUpstream(createUpstream({ id: "e-new" }), lookup.now);
  const added = state.upstreams.getEntry("e-new") as UpstreamEntry;
  const holder = findPrefixHolder(state, lookup, added, undefined);
  assert.ok(holder !== undefined && holder !== added);
});

test.run();
