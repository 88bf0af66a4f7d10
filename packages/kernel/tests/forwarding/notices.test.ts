import {
  applyFleetNotices,
  applyResponseHead,
  chooseUpstream,
  getRetryAfterSeconds,
  PrefixDirectory,
  ContentQuarantine,
  toFleetNotice,
  type ResponseHead,
  UpstreamReach,
  type UpstreamTable,
} from "@pistachioway/kernel";
import { suite } from "uvu";
import * as assert from "uvu/assert";
import { createTable } from "../upstreams/samples.js";

const test = suite("notices");

function createQuarantine(): ContentQuarantine {
  return ContentQuarantine.create({
    addFleetNotice: () => undefined,
    getReleaseDelay: () => 0,
    onChange: () => undefined,
  });
}

function createHead(changes: Partial<ResponseHead> = {}): ResponseHead {
  return {
    status: 200,
    requestId: "q-1",
    isMisdirected: false,
    meaning: "final",
    notRunStatements: [],
    load: undefined,
    isLeaving: false,
    requestedRest: undefined,
    statedLimit: undefined,
    coldMilliseconds: undefined,
    isFramed: true,
    passedHeaders: [],
    ...changes,
  };
}

/** Applies a response head of the first engine. */
function receive(table: UpstreamTable, changes: Partial<ResponseHead>, now = 0) {
  const [entry] = table.getEntries();
  return entry === undefined ? [] : applyResponseHead(table, entry, createHead(changes), now);
}

function getChosen(table: UpstreamTable, now: number): string | undefined {
  return chooseUpstream(table.getEntries(), {
    service: "engine",
    zone: "north",
    softwareVersion: undefined,
    stickyKey: undefined,
    excluded: new Set(),
    maxRunning: 100,
    limitShare: { part: 1, position: 0 },
    isRepeatable: true,
    hasIdleConnection: () => false,
    now,
  })?.entry.record.id;
}

test("an engine that announces that it leaves gets no request more, and is told of once", () => {
  const table = createTable(1);
  assert.equal(receive(table, { isLeaving: true }), [{ kind: "leaving", upstream: "e-1" }]);
  assert.equal(receive(table, { isLeaving: true }), []);
  assert.equal([getChosen(table, 0), getChosen(table, 1e9)], [undefined, undefined]);
});

test("an engine that asks for a rest gets no request before its end", () => {
  const table = createTable(1);
  const requestedRest = { text: "1.5", milliseconds: 1_500 };
  const notices = receive(table, { status: 503, requestedRest }, 100);
  assert.equal(notices, [
    { kind: "resting", upstream: "e-1", milliseconds: 1_500, isBounded: false },
  ]);
  assert.equal([getChosen(table, 1_599), getChosen(table, 1_600)], [undefined, "e-1"]);
  assert.equal(
    [table.getEarliestRestEnd("engine", 200), table.getEarliestRestEnd("engine", 1_600)],
    [1_600, undefined],
  );
});

test("a rest is bounded, and one that is no number of seconds has no effect", () => {
  const table = createTable(1);
  const day = { text: "86400", milliseconds: 86_400_000 };
  const invalid = { text: "x".repeat(100), milliseconds: undefined };
  assert.equal(
    [receive(table, { requestedRest: invalid }), getChosen(table, 0)],
    [[{ kind: "invalidRest", upstream: "e-1", text: "x".repeat(40) }], "e-1"],
  );
  assert.equal(
    [receive(table, { requestedRest: day }), getChosen(table, 60_000)],
    [[{ kind: "resting", upstream: "e-1", milliseconds: 60_000, isBounded: true }], "e-1"],
  );
});

test("an engine that rests is not probed", () => {
  const table = createTable(1);
  const reach = UpstreamReach.create(table);
  const [entry] = table.getEntries();
  assert.ok(entry);
  reach.recordConnectFailure(entry, 0);
  entry.rest(2_000);
  assert.equal([reach.takeProbes(1_000), reach.takeProbes(2_000)], [[], [entry]]);
});

test("a response for another upstream tells nothing about the one at its address", () => {
  const table = createTable(1);
  const requestedRest = { text: "9", milliseconds: 9_000 };
  assert.equal(
    receive(table, { status: 421, isMisdirected: true, isLeaving: true, requestedRest }),
    [],
  );
  assert.is(getChosen(table, 0), "e-1");
});

// Guards against requests that keep going to an entry whose address has passed to another upstream (refused, served less).
test("an upstream at whose address another one answers is avoided while there are others", () => {
  const misdirected = { status: 421, isMisdirected: true, meaning: "refusal" } as const;
  const [replaced, unproven, single] = [createTable(2), createTable(2), createTable(1)];
  receive(replaced, misdirected);
  receive(unproven, { ...misdirected, meaning: "unproven" });
  receive(single, misdirected);
  assert.equal(
    [replaced, unproven, single].map((table) => getChosen(table, 0)),
    ["e-2", "e-1", "e-1"],
  );
  assert.is(getChosen(replaced, 60_000), "e-1");
});

test("peers learn of leaving engines, and avoid resting ones while there are others", () => {
  const [first, second] = [createTable(2), createTable(2)];
  const requestedRest = { text: "2", milliseconds: 2_000 };
  const entry = first.getEntry("e-2");
  const learned = [
    ...receive(first, { isLeaving: true }),
    ...(entry === undefined
      ? []
      : applyResponseHead(first, entry, createHead({ status: 503, requestedRest }), 1_000)),
  ];
  const notices = learned.flatMap((notice) => toFleetNotice(first, notice) ?? []);
  assert.equal(notices, [
    { kind: "leaving", id: "e-1", bornAt: 1 },
    { kind: "resting", id: "e-2", endsAt: 3_000 },
  ]);
  const target = {
    upstreams: second,
    prefixes: PrefixDirectory.create(),
    quarantine: createQuarantine(),
  };
  const applied = [1, 2].map(() => applyFleetNotices(target, notices, 1_000));
  assert.equal(applied, [[{ kind: "leaving", upstream: "e-1" }], []]);
  const other = second.getEntry("e-2");
  assert.equal([other?.isAvoided(2_999), other?.isAvoided(3_000)], [true, false]);
  assert.is(getChosen(second, 2_000), "e-2");
});

test("a rest that a peer tells of is bounded", () => {
  const table = createTable(2);
  const target = {
    upstreams: table,
    prefixes: PrefixDirectory.create(),
    quarantine: createQuarantine(),
  };
  applyFleetNotices(target, [{ kind: "resting", id: "e-1", endsAt: 1e9 }], 0);
  assert.equal(
    [table.getEntry("e-1")?.isAvoided(59_999), table.getEntry("e-1")?.isAvoided(60_000)],
    [true, false],
  );
});

test("daemons learn from each other which engine holds a prompt block", () => {
  const upstreams = createTable(3);
  const prefixes = PrefixDirectory.create();
  const [chosen, holder] = upstreams.getEntries();
  const notice = { kind: "prefix", block: 77, upstream: holder?.hash ?? 0, at: 500 } as const;
  const target = { upstreams, prefixes, quarantine: createQuarantine() };
  applyFleetNotices(target, [notice, { ...notice, upstream: 1 }], 600);
  const found = chosen && prefixes.getLongerPrefixHolder([77], chosen, () => true, 700);
  assert.is(found, holder);
});

test("an engine that names a limit is told of once, to peers as well, until it names none", () => {
  const [first, second] = [createTable(1), createTable(1)];
  const statedLimit = { text: "4.5", perSecond: 4.5 };
  const [learned] = receive(first, { statedLimit }, 100);
  assert.equal(learned, { kind: "limited", upstream: "e-1", perSecond: 4.5 });
  assert.equal(receive(first, { statedLimit }, 200), []);
  assert.equal(receive(first, { meaning: "refusal", status: 503 }, 300), []);
  const notice = learned && toFleetNotice(first, learned);
  assert.equal(notice, { kind: "limit", id: "e-1", perSecond: 4.5, at: 300 - 100 });
  const target = {
    upstreams: second,
    prefixes: PrefixDirectory.create(),
    quarantine: createQuarantine(),
  };
  assert.equal(applyFleetNotices(target, notice === undefined ? [] : [notice], 500), [learned]);
  assert.equal(receive(first, {}, 600), [
    { kind: "limited", upstream: "e-1", perSecond: undefined },
  ]);
  // What a peer heard before the limit ended does not bring it back.
  const late = { ...target, upstreams: first };
  assert.equal(applyFleetNotices(late, notice === undefined ? [] : [notice], 700), []);
  assert.is(first.getEntry("e-1")?.limit.getPerSecond(), undefined);
});

test("a limit that cannot be read changes nothing and is told of once", () => {
  const table = createTable(1);
  receive(table, { statedLimit: { text: "4", perSecond: 4 } });
  const statedLimit = { text: "x".repeat(100), perSecond: undefined };
  assert.equal(receive(table, { statedLimit }), [
    { kind: "invalidLimit", upstream: "e-1", text: "x".repeat(40) },
  ]);
  assert.equal(receive(table, { statedLimit }), []);
  assert.is(table.getEntry("e-1")?.limit.getPerSecond(), 4);
});

test("callers return after the rest, spread, and the most urgent first", () => {
  const getSeconds = (priority: number, random: number) =>
    getRetryAfterSeconds(5_000, 4_000, priority, random);
  assert.equal(
    [
      getSeconds(0, 0),
      getSeconds(0, 0.99),
      getSeconds(5, 0),
      getSeconds(9, 0.5),
      getSeconds(30, 0),
    ],
    [1, 1.06, 1.3, 1.57, 1.54],
  );
  assert.is(getRetryAfterSeconds(4_000, 5_000, 0, 0), 0);
});

test.run();
