import {
  applyAnswerToPace,
  getPaceBounds,
  UpstreamPace,
  type PaceChange,
  type StartShare,
} from "@pistachioway/kernel";
import { suite } from "uvu";
import * as assert from "uvu/assert";
import { createTable, createUpstream } from "./samples.js";

const test = suite("UpstreamPace");

const bounds = { initialPerSecond: 8, fullPerSecond: 32 };

function begin(): UpstreamPace {
  const pace = UpstreamPace.create();
  pace.begin(0);
  return pace;
}

/** Answers one request each 600 ms for a time, sent 100 ms before, and gets the paces. */
function play(pace: UpstreamPace, answers: readonly ("inTime" | "setback")[]): unknown[] {
  return answers.map((answer, index) => {
    const now = (index + 1) * 600;
    if (answer === "inTime") {
      pace.recordInTime(now - 100, now, bounds, Infinity);
    } else {
      pace.recordSetback(now - 100, now, bounds);
    }
    return pace.getPerSecond(bounds);
  });
}

test("the pace of a sound upstream doubles until it is unrestricted", () => {
  assert.equal(play(begin(), ["inTime", "inTime", "inTime"]), [16, undefined, undefined]);
});

test("the pace of a slow or failing upstream halves, and then grows in small steps", () => {
  assert.equal(
    play(begin(), ["setback", "setback", "inTime", "inTime", "setback"]),
    [4, 2, 3, 4.5, 2.25],
  );
});

test("the pace never falls below a small part of the initial one", () => {
  assert.is(play(begin(), Array<"setback">(20).fill("setback")).at(-1), 2);
});

// Guards against a burst of answers to requests that were sent at a lower pace, which raise it many times over.
test("only requests that were sent at the present pace raise it, and only now and then", () => {
  const pace = begin();
  const changes = [
    pace.recordInTime(-10, 600, bounds, Infinity),
    pace.recordInTime(10, 400, bounds, Infinity),
    pace.recordInTime(10, 600, bounds, Infinity)?.perSecond,
    pace.recordInTime(599, 1_200, bounds, Infinity),
  ];
  assert.equal(changes, [undefined, undefined, 16, undefined]);
});

test("requests that were on their way at a reduction count once together", () => {
  const pace = begin();
  const changes = [100, 110, 120].map((sentAt) => pace.recordSetback(sentAt, sentAt + 200, bounds));
  assert.equal(
    changes.map((change) => change?.perSecond),
    [4, undefined, undefined],
  );
});

test("answers at a lower rate do not raise the pace above what they show", () => {
  const pace = begin();
  pace.recordInTime(10, 600, bounds, 10);
  assert.is(pace.getPerSecond(bounds), 10);
});

test("what another daemon tells of is applied: later reductions at once, growth only after them", () => {
  const pace = begin();
  const paces = (
    [
      { perSecond: 16, isReduced: false, at: 600 },
      { perSecond: 4, isReduced: true, at: 900 },
      { perSecond: 32, isReduced: false, at: 800 },
      { perSecond: 5, isReduced: false, at: 1_500 },
      { perSecond: undefined, isReduced: false, at: 2_100 },
      { perSecond: 2, isReduced: true, at: 2_200 },
    ] satisfies PaceChange[]
  ).map((change) => {
    pace.apply(change, bounds);
    return pace.getPerSecond(bounds);
  });
  assert.equal(paces, [16, 4, 4, 5, undefined, undefined]);
});

test("what was told of the time before a start is ignored", () => {
  const pace = begin();
  pace.begin(1_000);
  pace.apply({ perSecond: undefined, isReduced: false, at: 900 }, bounds);
  assert.is(pace.getPerSecond(bounds), 8);
});

test("the bounds follow from what this daemon sends to the upstreams of the service", () => {
  const table = createTable(2);
  const [first] = table.getEntries();
  for (let now = 0; now < 20_000; now += 500) {
    first?.start.takeSlot(now);
  }
  const round = ({ initialPerSecond, fullPerSecond }: ReturnType<typeof getPaceBounds>) =>
    [initialPerSecond, fullPerSecond].map(Math.round);
  assert.equal(
    [
      round(getPaceBounds(table.getEntries(), 28, Infinity, 20_000)),
      round(getPaceBounds(table.getEntries(), 28, 14, 20_000)),
      round(getPaceBounds(table.getEntries(), 28, 14, 900_000)),
    ],
    [
      [26, 52],
      [14, 52],
      [1, 2],
    ],
  );
});

/** Judges answers of an upstream that has started, while others usually answer within a time. */
function judge(othersMilliseconds: number, milliseconds: number, isRejected = false): unknown {
  const table = createTable(2);
  table.getEntry("e-2")?.recordFirstByte(othersMilliseconds);
  table.addUpstream(createUpstream({ bornAt: 2 }), 0);
  const entry = table.getEntry("e-1");
  assert.ok(entry);
  const share: StartShare = {
    part: 1,
    position: 0,
    clockOffset: 0,
    isSettled: true,
    cold: undefined,
    pace: bounds,
  };
  const answer = { sentAt: 10, goalMilliseconds: 800, isRejected };
  return applyAnswerToPace(table, entry, answer, 10 + milliseconds, share);
}

test("a first byte is late when it is later than the objective and than twice that of the others", () => {
  const notices = [judge(100, 700), judge(100, 900), judge(600, 900), judge(100, 700, true)];
  assert.equal(notices, [
    { kind: "pace", id: "e-1", perSecond: 16, isReduced: false, at: 710 },
    { kind: "pace", id: "e-1", perSecond: 4, isReduced: true, at: 910 },
    { kind: "pace", id: "e-1", perSecond: 16, isReduced: false, at: 910 },
    { kind: "pace", id: "e-1", perSecond: 4, isReduced: true, at: 710 },
  ]);
});

test.run();
