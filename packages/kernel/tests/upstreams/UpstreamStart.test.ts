import {
  applyResponseHead,
  UpstreamReach,
  UpstreamTable,
  type StartShare,
  type Upstream,
  type UpstreamEntry,
} from "@pistachioway/kernel";
import { suite } from "uvu";
import * as assert from "uvu/assert";
import { createUpstream } from "./samples.js";

const test = suite("UpstreamStart");

const share: StartShare = {
  part: 1 / 4,
  position: 0,
  clockOffset: 0,
  isSettled: true,
  cold: { milliseconds: 3_000, requestsPerSecond: 4, excess: 1.5, slack: 5 },
};

/** Adds records one after the other, one each 100 ms, and gets the entry with its table. */
function add(...records: readonly Partial<Upstream>[]): [UpstreamEntry, UpstreamTable] {
  const table = UpstreamTable.create();
  records.forEach((record, index) => {
    table.addUpstream(createUpstream(record), index * 100);
  });
  const entry = table.getEntry("e-1");
  if (entry === undefined) {
    throw new Error("e-1 is not listed");
  }
  return [entry, table];
}

/** Gets the times of the requests that are sent when one is tried every 10 ms. */
function getSent({ start }: UpstreamEntry, from: number, until: number, each = share): number[] {
  const times = Array.from({ length: (until - from) / 10 }, (_, index) => from + index * 10);
  return times.filter((now) => {
    const isOpen = start.isOpen(now, each);
    if (isOpen) {
      start.takeSlot(now);
    }
    return isOpen;
  });
}

test("a daemon sends its share to a cold upstream, evenly, and all of its requests once it is warm", () => {
  const [entry] = add({ coldMilliseconds: 3_000 });
  const sent = getSent(entry, 0, 3_000);
  const gaps = sent.slice(1).map((at, index) => at - (sent[index] ?? 0));
  assert.equal(
    [sent.length, new Set(gaps), getSent(entry, 3_000, 3_100).length],
    [3, new Set([1_000]), 10],
  );
});

test("the slots of four daemons are evenly spaced, whenever each learned of the start", () => {
  const slots = [0, 1, 2, 3].map((index) => {
    const [entry] = add({ coldMilliseconds: 3_000 });
    const learnedAt = index * 130;
    const own = { ...share, position: index / 4 };
    const first = entry.start.getNextSlot(learnedAt, own) ?? 0;
    entry.start.takeSlot(first);
    return (entry.start.getNextSlot(first, own) ?? 0) % 1_000;
  });
  const sorted = slots.sort((a, b) => a - b);
  assert.equal(
    sorted.slice(1).map((slot, index) => Math.round(slot - (sorted[index] ?? 0))),
    [250, 250, 250],
  );
});

// Guards against requests of all daemons that were idle, which all use slots that have long passed.
test("a slot that no request used in time is lost", () => {
  const [entry] = add({ coldMilliseconds: 3_000 });
  const first = entry.start.getNextSlot(0, share) ?? 0;
  assert.equal(
    [
      entry.start.isOpen(first, share),
      entry.start.isOpen(first + 199, share),
      entry.start.isOpen(first + 201, share),
      entry.start.isOpen(first + 1_001, share),
    ],
    [true, true, false, true],
  );
});

test("without settings a slot is open for the shortest time", () => {
  const [entry] = add({ coldMilliseconds: 3_000 });
  const cold = { milliseconds: 3_000, requestsPerSecond: 4, excess: 1, slack: 0 };
  const strict = { ...share, cold };
  const first = entry.start.getNextSlot(0, strict) ?? 0;
  assert.equal(
    [first + 49, first + 51].map((now) => entry.start.isOpen(now, strict)),
    [true, false],
  );
});

test("a service without cold start bounds nothing", () => {
  const [entry] = add({ coldMilliseconds: 3_000 });
  const none = { ...share, cold: undefined };
  assert.equal(
    [getSent(entry, 0, 100, none).length, entry.start.getNextSlot(0, none)],
    [10, undefined],
  );
});

// Guards against an incarnation that restarts again and again and gets a slot each time.
test("a new incarnation does not give a slot again", () => {
  const [entry, table] = add({ coldMilliseconds: 3_000 });
  const first = entry.start.getNextSlot(0, share) ?? 0;
  entry.start.takeSlot(first);
  table.addUpstream(createUpstream({ bornAt: 2, coldMilliseconds: 3_000 }), first + 10);
  assert.is(table.getEntry("e-1")?.start.isOpen(first + 20, share), false);
});

test("only newer records tell that the upstream is cold, and none that it is not", () => {
  const ends = [
    add({ sequence: 2 }, { sequence: 1, coldMilliseconds: 3_000 }),
    add({ sequence: 2, coldMilliseconds: 900 }, { sequence: 2, coldMilliseconds: 900 }),
    add({ sequence: 2, coldMilliseconds: 900 }, { sequence: 3 }),
    add({ sequence: 2 }, { sequence: 3, coldMilliseconds: 3_000 }),
    add({ bornAt: 2 }, { bornAt: 1, sequence: 9, coldMilliseconds: 3_000 }),
  ].map(([entry]) => entry.start.getColdEnd(share));
  assert.equal(ends, [-Infinity, 900, 900, 3_100, -Infinity]);
});

test("an answer tells the time exactly", () => {
  const [entry, table] = add({ coldMilliseconds: 3_000 });
  applyResponseHead(
    table,
    entry,
    {
      status: 200,
      requestId: "q-1",
      isMisdirected: false,
      meaning: "final",
      notRunStatements: [],
      load: undefined,
      isLeaving: false,
      requestedRest: undefined,
      statedLimit: undefined,
      coldMilliseconds: 1_200,
      isFramed: true,
      passedHeaders: [],
    },
    500,
  );
  assert.is(entry.start.getColdEnd(share), 1_700);
});

// Guards against a daemon that cannot read the registry and takes an upstream that crashed for warm.
test("an upstream that refused connections, or fell silent, is cold when connections open again", () => {
  const play = (fail: (reach: UpstreamReach, entry: UpstreamEntry) => void): number => {
    const [entry, table] = add({});
    const reach = UpstreamReach.create(table);
    fail(reach, entry);
    reach.recordConnected(entry, 2_000);
    return entry.start.getColdEnd(share);
  };
  const ends = [
    play(() => undefined),
    play((reach, entry) => {
      reach.recordConnectFailure(entry, 1_000);
    }),
    play((reach, entry) => {
      entry.startRequest(0);
      reach.check(1_000);
    }),
    play((reach, entry) => {
      reach.recordConnectFailure(entry, 1_000);
      entry.recordReceivedBytes(1_100);
    }),
  ];
  assert.equal(ends, [-Infinity, 5_000, 5_000, -Infinity]);
});

test("the next slot comes no later than the end of the cold time", () => {
  const [entry, table] = add({ coldMilliseconds: 10 });
  entry.start.takeSlot(0);
  assert.equal(
    [
      table.getEarliestStartSlot("engine", 5, share),
      table.getEarliestStartSlot("engine", 11, share),
    ],
    [10, undefined],
  );
});

// Guards against an upstream that states in each response that it is warm, and is paced from the beginning each time.
test("an upstream that says that it is warm is not paced", () => {
  const [entry] = add({});
  const paced = { ...share, pace: { initialPerSecond: 4, fullPerSecond: 8 } };
  entry.start.recordCold(0, 1_000);
  const isPacedWhileWarm = entry.start.isPaced(paced);
  entry.start.recordCold(900, 2_000);
  assert.equal([isPacedWhileWarm, entry.start.isPaced(paced)], [false, true]);
});

test.run();
