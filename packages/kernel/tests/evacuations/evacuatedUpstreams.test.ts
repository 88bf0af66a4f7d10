import {
  chooseUpstream,
  findPrefixHolder,
  PrefixDirectory,
  UpstreamReach,
  type UpstreamRequirements,
  type UpstreamTable,
} from "@pistachioway/kernel";
import { suite } from "uvu";
import * as assert from "uvu/assert";
import { createTable, createUpstream } from "../upstreams/samples.js";

const test = suite("upstreams of an evacuated zone");

function choose(table: UpstreamTable, changes: Partial<UpstreamRequirements> = {}) {
  return chooseUpstream(table.getEntries(), {
    service: "engine",
    zone: "north",
    softwareVersion: undefined,
    stickyKey: "chat-1",
    excluded: new Set(),
    maxRunning: 100,
    limitShare: { part: 1, position: 0 },
    isRepeatable: true,
    hasIdleConnection: () => false,
    now: 0,
    ...changes,
  });
}

function evacuate(table: UpstreamTable, zone = "north"): void {
  table.applyEvacuationChanges([{ zone, isEvacuated: true }], 0);
}

test("get no request, with or without a key, until the zone returns", () => {
  const table = createTable(6, ["north", "south"]);
  const keys = [undefined, ...Array.from({ length: 40 }, (_, index) => `chat-${String(index)}`)];
  const getZones = () => [
    ...new Set(keys.map((stickyKey) => choose(table, { stickyKey })?.entry.record.zone)),
  ];
  const before = getZones().length;
  evacuate(table);
  const during = getZones();
  table.applyEvacuationChanges([{ zone: "north", isEvacuated: false }], 10);
  assert.equal([before, during, getZones().length], [2, ["south"], 2]);
});

// Guards against an upstream that registers, or restarts, during the evacuation and gets requests.
test("include those that register or change their record later", () => {
  const table = createTable(1);
  evacuate(table);
  table.addUpstream(createUpstream({ id: "late" }), 10);
  table.addUpstream(createUpstream({ id: "moved", zone: "south" }), 10);
  table.addUpstream(createUpstream({ id: "moved", zone: "north", sequence: 2 }), 20);
  table.addUpstream(createUpstream({ id: "e-1", bornAt: 2 }), 20);
  assert.equal(
    table.getEntries().map((entry) => [entry.record.id, entry.isOffered()]),
    [
      ["e-1", false],
      ["late", false],
      ["moved", false],
    ],
  );
});

test("leave a service without any upstream evacuated, and its versions unserved", () => {
  const table = createTable(2);
  const state = () => [
    table.isServiceEvacuated("engine"),
    table.isServiceEvacuated("other"),
    table.isVersionServed("engine", "v1"),
    choose(table) === undefined,
  ];
  const before = state();
  evacuate(table);
  const during = state();
  table.addUpstream(createUpstream({ id: "e-3", zone: "south", softwareVersion: "v2" }), 10);
  assert.equal(
    [before, during, state()],
    [
      [false, false, true, false],
      [true, false, false, true],
      [false, false, false, false],
    ],
  );
});

// Guards against a time to return that is taken from an upstream that gets no request.
test("name no time at which a request may return", () => {
  const table = createTable(1);
  table.getEntries()[0]?.rest(5_000);
  const before = table.getEarliestRestEnd("engine", 10);
  evacuate(table);
  assert.equal([before, table.getEarliestRestEnd("engine", 10)], [5_000, undefined]);
});

// Guards against prompts that are read again although an engine of the zone still has them cached.
test("may still be the source of a KV cache transfer", () => {
  const table = createTable(6, ["north", "south"]);
  const now = 60_000;
  const before = choose(table, { now })?.entry;
  assert.ok(before);
  evacuate(table, before.record.zone);
  const after = choose(table, { now })?.entry;
  assert.ok(after);
  const lookup = { service: "engine", stickyKey: "chat-1", sharedBlocks: [1], now };
  const state = { upstreams: table, prefixes: PrefixDirectory.create() };
  assert.is.not(after, before);
  assert.is(findPrefixHolder(state, lookup, after, undefined), before);
});

// Guards against a service that counts as reached, so that no peer is asked, because of an evacuated zone.
test("do not count as reached while others are listed", () => {
  const table = createTable(2, ["north", "south"]);
  const reach = UpstreamReach.create(table);
  const south = table.getEntry("e-2");
  assert.ok(south);
  reach.recordConnectFailure(south, 1_000);
  table.getEntry("e-1")?.path.recordReceivedBytes(1_001);
  const before = reach.getUnreachedServices();
  evacuate(table);
  assert.equal([before, reach.getUnreachedServices()], [[], ["engine"]]);
  evacuate(table, "south");
  assert.equal(reach.getUnreachedServices(), []);
});

test("keep their requests in flight", () => {
  const table = createTable(1);
  const [entry] = table.getEntries();
  entry?.startRequest(0);
  evacuate(table);
  assert.equal([entry?.running, entry?.isInService()], [1, true]);
});

// Guards against upstreams above the bound on load, which counts the evacuated ones that take nothing (LIMIT).
test("lower the load limit of the upstreams that remain", () => {
  const table = createTable(4, ["north", "south"]);
  evacuate(table);
  const first = choose(table)?.entry;
  const remaining = table.getEntries().filter((entry) => entry.isOffered());
  remaining.forEach((entry) => {
    entry.running = entry === first ? 10 : 4;
  });
  const reasons = [choose(table)?.reason];
  table.applyEvacuationChanges([{ zone: "north", isEvacuated: false }], 10);
  table.getEntries().forEach((entry) => {
    entry.running = entry === first ? 10 : 7;
  });
  reasons.push(choose(table, { excluded: getIds(table, "north") })?.reason);
  assert.equal(reasons, ["spilled", "first"]);
});

function getIds(table: UpstreamTable, zone: string): ReadonlySet<string> {
  const entries = table.getEntries().filter(({ record }) => record.zone === zone);
  return new Set(entries.map(({ record }) => record.id));
}

test.run();
