import {
  findPrefixSource,
  getHash,
  PrefixDirectory,
  type PrefixSource,
  type UpstreamEntry,
} from "@pistachioway/kernel";
import { suite } from "uvu";
import * as assert from "uvu/assert";
import { createTable, createUpstream } from "./samples.js";

const test = suite("findPrefixSource");
const [team, chat] = [getHash("team"), getHash("chat")];
const lookup = {
  service: "engine",
  stickyKey: "chat",
  sharedBlocks: [team, chat],
  sharedBlockTokens: [600, 5_999],
  now: 40_000,
};

function create(): {
  readonly state: Parameters<typeof findPrefixSource>[0];
  readonly engines: readonly [UpstreamEntry, UpstreamEntry, UpstreamEntry, UpstreamEntry];
} {
  const upstreams = createTable(4);
  const [a, b, c, d] = upstreams.getEntries() as [
    UpstreamEntry,
    UpstreamEntry,
    UpstreamEntry,
    UpstreamEntry,
  ];
  return { state: { upstreams, prefixes: PrefixDirectory.create() }, engines: [a, b, c, d] };
}

function describe({ kind, entry }: PrefixSource): string {
  return entry === undefined ? kind : `${kind} ${entry.record.id}`;
}

// Guards against reading 12,000 tokens again because the only holder is avoided, while a holder of 600 is not.
test("prefers a holder of the whole part in any connectable state to one of a shorter prefix", () => {
  const { state, engines } = create();
  const [chosen, holder, shorter, other] = engines;
  const { now } = lookup;
  state.prefixes.addHolder([team], shorter, 39_500);
  state.prefixes.addHolder([team, chat], holder, 39_000);
  const find = (): string => describe(findPrefixSource(state, lookup, chosen, undefined));
  const found = [find()];
  holder.avoid(now);
  found.push(find());
  state.upstreams.markLeaving(holder.record);
  found.push(find());
  // Connections open again after a silence, but no bytes have come.
  holder.path.recordSilence(now);
  holder.path.recordConnected(now + 1);
  found.push(find());
  state.prefixes.addHolder([team, chat], other, 38_000);
  found.push(find());
  assert.equal(found, ["holder e-2", "impaired e-2", "impaired e-2", "impaired e-2", "holder e-4"]);
});

test("finds no engine whose path is closed, that is gone, or that was restarted under its id", () => {
  const { state, engines } = create();
  const [chosen, closed, restarted, gone] = engines;
  const { now } = lookup;
  [closed, restarted, gone].forEach((entry) => {
    state.prefixes.addHolder([team, chat], entry, 39_000);
  });
  closed.path.recordConnectFailure(now);
  state.upstreams.addUpstream(createUpstream({ id: "e-3", bornAt: 2 }), now);
  state.upstreams.removeUpstream("e-4", now);
  // A peer tells late what the former incarnation held.
  const successor = state.upstreams.getEntry("e-3") as UpstreamEntry;
  state.prefixes.addHolder([chat], successor, 39_900);
  const key = { ...lookup, stickyKey: undefined };
  assert.is(describe(findPrefixSource(state, key, chosen, undefined)), "none");
  assert.is(describe(findPrefixSource(state, key, successor, undefined)), "none");
  state.prefixes.addHolder([chat], successor, now + 10);
  assert.is(describe(findPrefixSource(state, key, chosen, undefined)), "holder e-3");
  state.upstreams.addUpstream(createUpstream({ id: "e-4", bornAt: 2 }), now);
  const returned = state.upstreams.getEntry("e-4") as UpstreamEntry;
  assert.equal([returned.restartedAt, chosen.restartedAt], [now, -Infinity]);
});

test("finds no engine of another software version or another service", () => {
  const { state, engines } = create();
  const [, holder, reader, preferred] = engines;
  state.upstreams.addUpstream(
    createUpstream({ id: "e-other", service: "other", softwareVersion: "v2" }),
    0,
  );
  const other = state.upstreams.getEntry("e-other") as UpstreamEntry;
  state.prefixes.addHolder([team, chat], other, 39_000);
  state.upstreams.addUpstream(createUpstream({ id: "e-new", softwareVersion: "v2" }), 0);
  const chosen = state.upstreams.getEntry("e-new") as UpstreamEntry;
  state.prefixes.addHolder([team, chat], holder, 39_000);
  state.prefixes.startReading([team, chat], reader);
  assert.is(describe(findPrefixSource(state, lookup, chosen, preferred)), "none");
});

// Guards against fetching the short first block only, when the holders of a known document are gone.
test("tries the engine that is first by the order before a holder of a shorter prefix", () => {
  const { state, engines } = create();
  const [chosen, gone, preferred, shorter] = engines;
  state.prefixes.addHolder([team, chat], gone, 39_000);
  gone.path.recordConnectFailure(lookup.now);
  state.prefixes.addHolder([team], shorter, 39_000);
  const key = { ...lookup, stickyKey: undefined };
  const found = [
    findPrefixSource(state, lookup, chosen, preferred),
    findPrefixSource(state, key, chosen, undefined),
  ];
  preferred.path.recordConnectFailure(lookup.now);
  found.push(findPrefixSource(state, key, chosen, preferred));
  assert.equal(found.map(describe), ["former e-3", "shorter e-4", "shorter e-4"]);
});

// Guards against reading a prompt that another daemon, at the load limit of its first engine, sent to the next one.
test("guesses by the order which engine has an unknown prompt, unless a holder of more is known", () => {
  const { state, engines } = create();
  const [, first, other, next] = engines;
  const find = (chosen: UpstreamEntry): string =>
    describe(findPrefixSource(state, lookup, chosen, undefined));
  const found = engines.map(find);
  state.prefixes.addHolder([team], other, 39_000);
  found.push(find(first));
  const long = { ...lookup, sharedBlockTokens: [600, 6_000] };
  found.push(describe(findPrefixSource(state, long, first, undefined)));
  state.prefixes.addHolder([team], next, 39_000);
  found.push(find(first));
  next.avoid(lookup.now);
  found.push(find(first));
  const only = findPrefixSource(state, { ...lookup, sharedBlocks: [chat] }, first, undefined);
  found.push(describe(only));
  assert.equal(found, [
    "former e-2",
    "next e-4",
    "former e-2",
    "former e-2",
    "shorter e-3",
    "next e-4",
    "next e-4",
    "next e-3",
    "none",
  ]);
});

// Guards against a daemon that guesses no former engine for 30 s after its start, when all engines are new to it.
test("guesses the former engine by which one was there first", () => {
  const { state, engines } = create();
  const [chosen, first] = engines;
  const find = (entry: UpstreamEntry, now: number): string =>
    describe(findPrefixSource(state, { ...lookup, now }, entry, undefined));
  const found = [find(chosen, 2_000)];
  first.path.recordConnectFailure(2_000);
  // "e-new-2" precedes all others in the order, but no engine that was there before it asks it.
  const ids = ["e-new-1", "e-new-2", "e-new-3"];
  ids.forEach((id) => {
    state.upstreams.addUpstream(createUpstream({ id }), 3_000);
  });
  const added = ids.map((id) => state.upstreams.getEntry(id) as UpstreamEntry);
  found.push(find(chosen, 4_000), ...added.map((entry) => find(entry, 4_000)));
  found.push(find(chosen, 40_000));
  assert.equal(found, [
    "former e-2",
    "former e-4",
    "former e-4",
    "former e-4",
    "former e-4",
    "former e-new-2",
  ]);
});

test("knows what the chosen engine holds or reads, and which engine reads it", () => {
  const { state, engines } = create();
  const [chosen, reader] = engines;
  const { prefixes } = state;
  const key = { ...lookup, stickyKey: undefined };
  const find = (): string => describe(findPrefixSource(state, key, chosen, undefined));
  const found = [find()];
  prefixes.startReading([team, chat], reader);
  found.push(find());
  prefixes.startReading([team, chat], chosen);
  found.push(find());
  prefixes.endReading([team, chat], chosen);
  found.push(find());
  prefixes.addHolder([team, chat], chosen, 39_000);
  found.push(find());
  assert.equal(found, ["none", "pending e-2", "reading", "pending e-2", "held"]);
});

test.run();
