import { UpstreamReach, type PathState, type UpstreamEntry } from "@pistachioway/kernel";
import { suite } from "uvu";
import * as assert from "uvu/assert";
import { createTable } from "./samples.js";

const test = suite("UpstreamReach");

interface Paths {
  readonly reach: UpstreamReach;
  readonly entries: readonly UpstreamEntry[];
}

function createPaths(count: number): Paths {
  const table = createTable(count);
  return { reach: UpstreamReach.create(table), entries: table.getEntries() };
}

function getStates({ entries }: Paths): readonly PathState[] {
  return entries.map(({ path }) => path.getState());
}

function getEntry({ entries }: Paths, index: number): UpstreamEntry {
  const entry = entries[index];
  assert.ok(entry);
  return entry;
}

/** Lets a probe of each path that is due fail. */
function failProbes({ reach }: Paths, now: number): void {
  reach.takeProbes(now).forEach((entry) => {
    reach.recordProbeFailure(entry, now);
  });
}

// Guards against routers that pay for each upstream anew when they have lost all of them (RECOVER).
test("a failed connection doubts all paths of a quiet service", () => {
  const paths = createPaths(3);
  paths.reach.recordConnectFailure(getEntry(paths, 0), 1_000);
  assert.equal(getStates(paths), ["closed", "doubted", "doubted"]);
  assert.is(paths.reach.takeProbes(1_000).length, 2, "the others are probed at once");
  assert.equal(paths.reach.getUnreachedServices(), ["engine"]);
});

test("a failed connection doubts no other path while one of the service brings bytes", () => {
  const paths = createPaths(3);
  getEntry(paths, 1).recordReceivedBytes(800);
  paths.reach.recordConnectFailure(getEntry(paths, 0), 1_000);
  assert.equal(getStates(paths), ["closed", "open", "open"]);
  assert.equal(paths.reach.getUnreachedServices(), []);
});

test("several upstreams that are silent together for 250 ms doubt all paths", () => {
  const paths = createPaths(3);
  [0, 1].forEach((index) => {
    getEntry(paths, index).startRequest(0);
  });
  paths.reach.check(250);
  assert.equal(getStates(paths), ["open", "open", "open"]);
  paths.reach.check(251);
  assert.equal(getStates(paths), ["doubted", "doubted", "doubted"]);
});

test("one silent upstream, or several while another one sends, doubt nothing", () => {
  const alone = createPaths(3);
  getEntry(alone, 0).startRequest(0);
  alone.reach.check(400);
  assert.equal(getStates(alone), ["open", "open", "open"]);
  const busy = createPaths(3);
  [0, 1].forEach((index) => {
    getEntry(busy, index).startRequest(0);
  });
  getEntry(busy, 2).recordReceivedBytes(200);
  busy.reach.check(400);
  assert.equal(getStates(busy), ["open", "open", "open"]);
});

test("two silent upstreams put all paths of a silent service on trial, until bytes of any come", () => {
  const paths = createPaths(3);
  [0, 1].forEach((index) => {
    getEntry(paths, index).startRequest(0);
  });
  paths.reach.check(701);
  assert.equal(getStates(paths), ["closed", "closed", "closed"]);
  paths.entries.forEach((entry) => {
    paths.reach.recordConnected(entry, 710);
  });
  paths.reach.check(800);
  assert.equal(getStates(paths), ["trial", "trial", "trial"]);
  getEntry(paths, 2).recordReceivedBytes(850);
  paths.reach.check(900);
  assert.equal(getStates(paths), ["trial", "trial", "open"], "the first two are silent themselves");
});

test("two silent upstreams put no other path on trial while a third one sends", () => {
  const paths = createPaths(4);
  [0, 1].forEach((index) => {
    getEntry(paths, index).startRequest(0);
  });
  getEntry(paths, 2).recordReceivedBytes(600);
  paths.reach.check(701);
  assert.equal(getStates(paths), ["closed", "closed", "open", "open"]);
});

test("one path that proves itself ends the doubt in the others", () => {
  const paths = createPaths(3);
  paths.reach.recordConnectFailure(getEntry(paths, 0), 1_000);
  paths.reach.recordConnected(getEntry(paths, 1), 1_002);
  paths.reach.check(1_010);
  assert.equal(getStates(paths), ["closed", "open", "open"]);
});

test("a service is lost when every path has failed, and back with the first that connects", () => {
  const paths = createPaths(3);
  paths.reach.recordConnectFailure(getEntry(paths, 0), 1_000);
  assert.equal(paths.reach.check(1_000).changes, [], "the others are only doubted");
  failProbes(paths, 1_250);
  const lost = { service: "engine", isReached: false, listed: 3 };
  assert.equal(paths.reach.check(1_260).changes, [lost]);
  assert.equal(paths.reach.check(1_360).changes, []);
  paths.reach.recordConnected(getEntry(paths, 2), 2_000);
  assert.equal(paths.reach.check(2_010).changes, [{ ...lost, isReached: true }]);
  assert.equal(getStates(paths), ["closed", "closed", "open"]);
});

test("a few of many lost upstreams are probed at a time, and all once one is back", () => {
  const paths = createPaths(88);
  paths.reach.recordConnectFailure(getEntry(paths, 0), 1_000);
  const probes = [1_000, 1_100, 1_200].map((now) => paths.reach.takeProbes(now).length);
  assert.equal(probes, [8, 8, 8]);
  paths.entries.forEach((entry) => {
    entry.path.recordConnectFailure(1_300);
  });
  paths.reach.recordConnected(getEntry(paths, 87), 2_000);
  assert.is(paths.reach.takeProbes(2_001).length, 87);
});

test("connections that live on bring requests while new ones are refused", () => {
  const paths = createPaths(1);
  const entry = getEntry(paths, 0);
  paths.reach.recordConnectFailure(entry, 1_000);
  assert.is(entry.path.isOpenToOldConnections(), false);
  entry.recordReceivedBytes(1_010);
  assert.is(entry.path.getState(), "closed");
  assert.is(entry.path.isOpenToOldConnections(), true);
  assert.equal(paths.reach.getUnreachedServices(), []);
});

test("paths on trial take one request each 500 ms while none is open", () => {
  const paths = createPaths(2);
  paths.entries.forEach((entry) => {
    entry.path.recordSilence(0);
    paths.reach.recordConnected(entry, 10);
  });
  const getAdmitting = (now: number, isRepeatable = true): number => {
    paths.reach.check(now);
    return paths.entries.filter(({ path }) => path.admitsTrial(isRepeatable, now)).length;
  };
  assert.equal([getAdmitting(100, false), getAdmitting(100)], [0, 1]);
  const [first] = paths.entries.filter(({ path }) => path.admitsTrial(true, 100));
  first?.startRequest(100);
  assert.equal([getAdmitting(500), getAdmitting(600)], [0, 1]);
  assert.equal([getAdmitting(3_009, false), getAdmitting(3_010, false)], [0, 1]);
});

test.run();
