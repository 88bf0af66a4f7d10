import {
  chooseUpstream,
  guessFormerUpstream,
  UpstreamReach,
  type UpstreamEntry,
  type UpstreamRequirements,
  type UpstreamTable,
  type WorkPlacement,
} from "@pistachioway/kernel";
import { suite } from "uvu";
import * as assert from "uvu/assert";
import { createTable, createUpstream } from "./samples.js";

const test = suite("chooseUpstream");

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

test("sends a chat to the same engine on every daemon", () => {
  const ids = ["chat-1", "chat-2", "chat-3"].map((stickyKey) => [
    choose(createTable(13), { stickyKey })?.entry.record.id,
    choose(createTable(13), { stickyKey })?.entry.record.id,
  ]);
  ids.forEach(([first, second]) => {
    assert.is(first, second);
  });
});

// Guards against a fleet whose daemons start together and each take a share for a fleet of one.
test("a daemon that does not know the number of daemons uses cold upstreams only if there is no other", () => {
  const startShare = {
    part: 1,
    position: 0,
    clockOffset: 0,
    cold: { milliseconds: 3_000, requestsPerSecond: 100, excess: 1.5, slack: 5 },
  };
  const chosen = [true, false].map((isSettled) => {
    const table = createTable(2);
    table.getEntry("e-1")?.start.recordCold(3_000, 0);
    const share = { ...startShare, isSettled };
    const first = choose(table, { stickyKey: undefined, startShare: share, now: 5 });
    table.removeUpstream("e-2", 0);
    const second = choose(table, { stickyKey: undefined, startShare: share, now: 5 });
    return [first?.entry.record.id, second?.entry.record.id];
  });
  assert.equal(chosen, [
    ["e-1", "e-1"],
    ["e-2", "e-1"],
  ]);
});

test("moves only the chats of an engine that is removed", () => {
  const keys = Array.from({ length: 200 }, (_, index) => `chat-${String(index)}`);
  const before = keys.map((stickyKey) => choose(createTable(13), { stickyKey })?.entry.record.id);
  const table = createTable(13);
  table.removeUpstream("e-4", 0);
  const moved = keys.filter((stickyKey, index) => {
    const id = choose(table, { stickyKey })?.entry.record.id;
    return id !== before[index] && before[index] !== "e-4";
  });
  assert.equal(moved, []);
});

test("a hot key spills to the next engine in order and names the first for KV cache transfer", () => {
  const table = createTable(13);
  const preferred = choose(table)?.entry;
  for (let count = 0; count < 3; count += 1) {
    preferred?.startRequest(0);
  }
  const choice = choose(table);
  assert.is(choice?.reason, "spilled");
  assert.is(choice?.preferred, preferred);
  assert.is.not(choice?.entry, preferred);
});

test("a hot key never raises the load of an engine far above the mean", () => {
  const table = createTable(13);
  const counts = new Map<string, number>();
  for (let request = 0; request < 260; request += 1) {
    // A third of the requests share one key.
    const stickyKey = request % 3 === 0 ? "hot" : `chat-${String(request)}`;
    const entry = choose(table, { stickyKey })?.entry;
    entry?.startRequest(0);
    const id = entry?.record.id ?? "";
    counts.set(id, (counts.get(id) ?? 0) + 1);
  }
  const most = Math.max(...counts.values());
  assert.ok(most <= (260 / 13) * 1.4 + 3, `${String(most)} on one engine`);
});

test("avoids failing engines while there are others", () => {
  const table = createTable(2);
  const preferred = choose(table)?.entry;
  preferred?.avoid(0);
  assert.is.not(choose(table, { now: 10 })?.entry, preferred);
  assert.is(choose(table, { now: 1_100 })?.entry, preferred);
  const [only] = createTable(1).getEntries();
  only?.avoid(0);
  assert.is(only && chooseUpstream([only], { ...base, now: 10 })?.entry, only);
});

const base: UpstreamRequirements = {
  service: "engine",
  zone: "north",
  softwareVersion: undefined,
  stickyKey: undefined,
  excluded: new Set(),
  maxRunning: 100,
  limitShare: { part: 1, position: 0 },
  isRepeatable: true,
  hasIdleConnection: () => false,
  now: 0,
};

test("avoids an unresponsive engine until a probe has connected and then a request is answered", () => {
  const table = createTable(2);
  const reach = UpstreamReach.create(table);
  const preferred = choose(table)?.entry;
  assert.ok(preferred);
  preferred.startRequest(0);
  assert.equal(
    [600, 800, 900].map((now) => preferred.avoidIfUnresponsive(now)),
    [false, true, false],
  );
  assert.is.not(choose(table, { now: 900 })?.entry, preferred);
  assert.is.not(choose(table, { now: 2_000 })?.entry, preferred, "no probe has connected");
  assert.equal(
    [900, 1_000, 1_200].map((now) => reach.takeProbes(now).length),
    [1, 0, 1],
  );
  preferred.finishRequest(false);
  reach.recordConnected(preferred, 1_210);
  reach.check(2_000);
  assert.is.not(choose(table, { now: 2_000, isRepeatable: false })?.entry, preferred, "on trial");
  assert.is(choose(table, { now: 2_000 })?.entry, preferred);
  preferred.startRequest(2_000);
  assert.is.not(choose(table, { now: 2_001 })?.entry, preferred, "one request at a time");
  preferred.recordReceivedBytes(2_010);
  assert.is(choose(table, { now: 2_010, isRepeatable: false })?.entry, preferred);
});

test("applies a shorter timeout to an engine with open streams", () => {
  const [entry] = createTable(1).getEntries();
  entry?.startRequest(0);
  entry?.startStream();
  assert.equal(
    [400, 401].map((now) => entry?.avoidIfUnresponsive(now)),
    [false, true],
  );
});

test("without a key, stays in the zone until the load of its upstreams is high", () => {
  const table = createTable(2, ["north", "south"]);
  const near = table.getEntry("e-1");
  const at = (load: number) => {
    while ((near?.running ?? load) < load) {
      near?.startRequest(0);
    }
    return choose(table, { stickyKey: undefined })?.entry.record.zone;
  };
  assert.equal([at(0), at(20), at(30)], ["north", "north", "south"]);
});

test("limits the requests per upstream to the daemon's share of its connections", () => {
  const table = createTable(2);
  const taken = Array.from({ length: 5 }, () => {
    const entry = choose(table, { maxRunning: 2 })?.entry;
    entry?.startRequest(0);
    return entry?.record.id;
  });
  assert.equal(
    taken.map((id) => id !== undefined),
    [true, true, true, true, false],
  );
  assert.equal(
    table.getEntries().map(({ running }) => running),
    [2, 2],
  );
});

test("chooses no upstream that is excluded or of another service", () => {
  const table = createTable(1);
  assert.is(choose(table, { service: "other" }), undefined);
  assert.is(choose(table, { excluded: new Set(["e-1"]) }), undefined);
});

test("guesses which engine served a chat before a recently added one", () => {
  const table = createTable(4);
  const now = 60_000;
  const before = choose(table, { now })?.entry;
  let chosen = before;
  for (let added = 0; chosen === before; added += 1) {
    table.addUpstream(createUpstream({ id: `new-${String(added)}` }), now);
    chosen = choose(table, { now })?.entry;
  }
  const requirements = { ...base, stickyKey: "chat-1", now };
  assert.is(chosen && guessFormerUpstream(table.getEntries(), requirements, chosen), before);
});

test("guesses the draining engine, and none when no engine has changed", () => {
  const table = createTable(4);
  const now = 60_000;
  const before = choose(table, { now })?.entry;
  const requirements = { ...base, stickyKey: "chat-1", now };
  assert.is(before && guessFormerUpstream(table.getEntries(), requirements, before), undefined);
  table.addUpstream(createUpstream({ id: before?.record.id, state: "draining", sequence: 2 }), now);
  const after = choose(table, { now })?.entry;
  assert.is(after && guessFormerUpstream(table.getEntries(), requirements, after), before);
});

function createPlacement(changes: Partial<WorkPlacement> = {}): WorkPlacement {
  return {
    isPrefixHeld: false,
    isCheapToRead: false,
    isBeingRead: false,
    isReading: () => false,
    isHolder: () => false,
    getExpectedMilliseconds: () => undefined,
    goalMilliseconds: 1_000,
    ...changes,
  };
}

// Guards against two engines that read the same 12,000 tokens for two requests of one daemon.
test("a request waits behind the reading of its prompt, unless a holder is known or the reader is at its limit", () => {
  const table = createTable(13);
  const first = choose(table)?.entry;
  const reader = table.getEntries().find((entry) => entry !== first);
  const reading = { isBeingRead: true, isReading: (entry: UpstreamEntry) => entry === reader };
  const chosen = [
    choose(table, { placement: createPlacement(reading) }),
    choose(table, { placement: createPlacement({ ...reading, isPrefixHeld: true }) }),
  ];
  [1, 2, 3].forEach(() => reader?.startRequest(0));
  chosen.push(choose(table, { placement: createPlacement(reading) }));
  assert.equal(
    chosen.map((choice) => [choice?.entry === reader, choice?.reason, choice?.preferred === first]),
    [
      [true, "reading", true],
      [false, "first", false],
      [false, "first", false],
    ],
  );
});

test("takes the first engine in the order that is expected soon enough, if that costs little reading", () => {
  const table = createTable(13);
  const order: UpstreamEntry[] = [];
  for (let rank = 0; rank < 6; rank += 1) {
    const entry = choose(table, { excluded: new Set(order.map(({ record }) => record.id)) })?.entry;
    order.push(...(entry === undefined ? [] : [entry]));
  }
  const getRank = (
    times: readonly (number | undefined)[],
    changes: Partial<WorkPlacement> = {},
  ): number => {
    const placement = createPlacement({
      isPrefixHeld: true,
      getExpectedMilliseconds: (entry) => times[order.indexOf(entry)],
      ...changes,
    });
    const choice = choose(table, { placement });
    return choice === undefined ? -1 : order.indexOf(choice.entry);
  };
  const isHolder = (entry: UpstreamEntry): boolean => entry === order[5];
  assert.equal(
    {
      "much later": getRank([600, 600, 250, 200]),
      "unknown prefix": getRank([600, 600, 250, 200], { isPrefixHeld: false }),
      "unknown prefix that is short": getRank([600, 600, 250, 200], {
        isPrefixHeld: false,
        isCheapToRead: true,
      }),
      "less than twice": getRank([380, 200, 200, 200]),
      "a small part of the objective": getRank([160, 20, 20, 20]),
      "fifth in the order": getRank([600, 600, 600, 600, 20, 20]),
      "fifth in the order, a holder is sixth": getRank([600, 600, 600, 600, 20, 20], { isHolder }),
      "unknown time": getRank([undefined, 20, 20, 20]),
      "unknown times of others": getRank([600]),
    },
    {
      "much later": 2,
      "unknown prefix": 0,
      "unknown prefix that is short": 2,
      "less than twice": 0,
      "a small part of the objective": 0,
      "fifth in the order": 0,
      "fifth in the order, a holder is sixth": 5,
      "unknown time": 0,
      "unknown times of others": 0,
    },
  );
});

test("takes no engine above the load limit, however soon it is expected to answer", () => {
  const table = createTable(4);
  const first = choose(table)?.entry;
  table
    .getEntries()
    .filter((entry) => entry !== first)
    .forEach((entry) => {
      [1, 2, 3, 4, 5, 6, 7, 8, 9].slice(0, entry.record.id === "e-1" ? 9 : 0).forEach(() => {
        entry.startRequest(0);
      });
    });
  const getExpectedMilliseconds = ({ record }: UpstreamEntry): number =>
    record.id === "e-1" ? 10 : 900;
  const placement = createPlacement({ isPrefixHeld: true, getExpectedMilliseconds });
  assert.is(choose(table, { placement })?.entry, first);
});

test.run();
