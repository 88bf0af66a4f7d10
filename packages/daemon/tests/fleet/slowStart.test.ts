import { suite } from "uvu";
import * as assert from "uvu/assert";
import { createRandom } from "./deployments.js";
import { SlowStartModel, type SlowStartOptions, type StartPolicy } from "./SlowStartModel.js";

const test = suite("slow start of upstreams that return");

const returning = 10;
const someId = "e-29";

type Upstreams = Pick<SlowStartOptions, "getServiceMilliseconds" | "refusesWhenFull">;

/** First bytes after 200 ms, as elsewhere. */
const sound: Upstreams = { getServiceMilliseconds: () => 200, refusesWhenFull: false };
/** Four times as slow at first, and usual after some seconds. */
const warming: Upstreams = {
  getServiceMilliseconds: (since) => 200 + 600 * Math.exp(-since / 3_000),
  refusesWhenFull: false,
};
const slow: Upstreams = { getServiceMilliseconds: () => 600, refusesWhenFull: false };

/** A third of 30 upstreams is away for 5 s and returns, before 28 daemons with 240 requests a second. */
function create(policy: StartPolicy, upstreams: Upstreams, seed: number): SlowStartModel {
  const options = { daemons: 28, zones: 3, upstreams: 30, rate: 240, policy };
  const getRandom = createRandom(seed);
  const model = SlowStartModel.create({ ...options, ...upstreams, getRandom });
  model.run(7_000);
  model.takeAway(returning);
  model.run(5_000);
  return model;
}

function play(policy: StartPolicy, upstreams: Upstreams, seed: number): SlowStartModel {
  const model = create(policy, upstreams, seed);
  model.bringBack(returning);
  model.run(10_000);
  return model;
}

/** Gets the sum of a figure over some seeds. */
function sum(
  policy: StartPolicy,
  upstreams: Upstreams,
  figure: "late" | "rejected" | "idlePercent",
): number {
  const values = [1, 2, 3].map((seed) => play(policy, upstreams, seed).getFigures()[figure]);
  return values.reduce((total, value) => total + value, 0);
}

// Guards against callers that wait at upstreams that are still slow, while others have room.
test("callers wait less than without a pace where upstreams that return are slow, for a time or for good", () => {
  const late = [warming, slow].map((upstreams) => [
    sum("none", upstreams, "late"),
    sum("answers", upstreams, "late"),
  ]);
  console.log(`late without a pace and with it: ${late.join("; ")}`);
  late.forEach(([without = 0, paced = 0]) => {
    assert.ok(paced < without / 2, `${String(paced)} of ${String(without)}`);
  });
});

// Guards against sound upstreams that a ramp of fixed length leaves idle.
test("a sound upstream that returns is idle for less time than on a fixed ramp, and callers wait no longer", () => {
  const [ramp, paced] = (["ramp", "answers"] as const).map((policy) => ({
    idle: sum(policy, sound, "idlePercent"),
    late: sum(policy, sound, "late"),
  }));
  assert.ok(ramp && paced);
  console.log(`idle and late on a ramp ${JSON.stringify(ramp)}, paced ${JSON.stringify(paced)}`);
  assert.ok(paced.idle < ramp.idle * 0.75);
  assert.ok(paced.late <= ramp.late);
});

test("a sound upstream is unrestricted in the end, a slow one keeps a low pace", () => {
  const paces = [sound, slow].map((upstreams) => play("answers", upstreams, 1).getPaces(someId));
  assert.equal(new Set(paces[0]), new Set([Infinity]));
  assert.ok(Math.max(...(paces[1] ?? [])) <= 4, paces[1]?.join(" "));
});

// Guards against a pace that is found only with the help of the other daemons.
test("without notices each daemon finds the pace by itself, later", () => {
  const model = create("answers", sound, 1);
  model.isTold = false;
  model.bringBack(returning);
  model.run(60_000);
  const unrestricted = model.getPaces(someId).filter((pace) => pace === Infinity).length;
  assert.ok(unrestricted >= 20, String(unrestricted));
});

test("a split fleet still reduces the pace of a slow upstream in each part", () => {
  const model = create("answers", slow, 1);
  model.fleet.isCut = (from, to) => from !== to;
  model.bringBack(returning);
  model.run(10_000);
  assert.ok(Math.max(...model.getPaces(someId)) <= 8, model.getPaces(someId).join(" "));
});

// Guards against one daemon that starts in the middle and lifts the pace at all the others.
test("a daemon that starts in the middle changes nothing for the others", () => {
  const model = create("answers", slow, 1);
  model.bringBack(returning);
  model.run(5_000);
  model.restart(3);
  model.run(5_000);
  const paces = model.getPaces(someId);
  assert.is(paces.filter((pace) => pace === Infinity).length, 1);
  assert.ok((paces.at(-2) ?? Infinity) <= 4, paces.join(" "));
});

test.run();
