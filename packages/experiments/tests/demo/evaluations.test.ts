import { createHash } from "node:crypto";
import { suite } from "uvu";
import * as assert from "uvu/assert";
import { evaluatePromises, type Observations } from "@pistachioway/experiments";

const digest = createHash("sha256").update("note").digest("hex");
const run = { key: "k1", bodyDigest: digest };
const sample = { daemon: "d1", at: 150, revision: 2 };

const refusedKey = { key: "k0", outcomes: ["not-run"] };

/** Observations in which every promise held. */
const good: Observations = {
  chats: {
    whole: 9,
    wrong: 0,
    unanswered: 0,
    returned: 5,
    repeatedTokens: 1,
    promptTokens: 2,
  },
  problems: new Map(),
  cuts: [{ daemon: "d3", at: 301, detail: "reset" }],
  acts: [{ body: "note", keys: [refusedKey, { key: "k1", outcomes: ["unknown", "complete"] }] }],
  runs: [run],
  loads: [{ at: 0, spanMilliseconds: 2, loads: [4, 6, 5] }],
  bound: 1.25,
  leaving: { at: 1_000, requestsBefore: 3, requestTimesAfter: [1_200] },
  stop: { daemon: "d2", inFlight: 4, exitCode: 0 },
  kill: { daemon: "d3", at: 300 },
  configuration: {
    live: ["d1"],
    publishedAt: 100,
    revision: 2,
    refusedRevision: 3,
    samples: [sample, { ...sample, at: 250, refusedRevision: 3 }],
  },
  outage: { whole: 2 },
  cacheReuse: 0.5,
  controlBytesPerSecond: [],
};

/** Gets the promises that a change of the observations breaks. */
function getBroken(change: Partial<Observations>): string[] {
  const evaluations = evaluatePromises({ ...good, ...change });
  return evaluations.filter(({ held }) => !held).map(({ promise }) => promise);
}

function getBrokenConfiguration(change: Partial<Observations["configuration"]>): string[] {
  return getBroken({ configuration: { ...good.configuration, ...change } });
}

const test = suite("evaluations");

test("every promise holds for a good run, with its evidence", () => {
  assert.equal(
    evaluatePromises(good).map(({ held, promise, evidence }) => [held, promise, evidence]),
    [
      [
        true,
        "load",
        "0 of 1 samples over 1.25 times the mean, rounded up, and 1 for the time between readings",
      ],
      [true, "answers", "9 whole, 0 wrong, 0 unanswered, 1 cut, 0 of them not by the kill"],
      [true, "not-run", "1 keys told not-run, 0 of them recorded"],
      [
        true,
        "at most once",
        "1 acts, 1 complete, 0 unknown, 0 recorded twice, 0 told complete without a record",
      ],
      [true, "leaving", "last new request 200 ms after the first sign, 0 after 3000 ms"],
      [true, "planned stop", "d2 stopped with 4 requests in flight, 0 cut off, exit code 0"],
      [
        true,
        "configuration",
        "in force on 1 daemons after 50 ms, 0 reversions, bad file refused on 1",
      ],
      [true, "platform outage", "2 whole answers while the platform was down"],
    ],
  );
});

test("each promise is broken by an observation that violates it or does not exercise it", () => {
  const { chats, leaving, stop } = good;
  const actWithoutRefusedKey = { body: "note", keys: [{ key: "k1", outcomes: ["complete"] }] };
  assert.equal(getBroken({ loads: [{ at: 0, spanMilliseconds: 2, loads: [1, 9, 2] }] }), ["load"]);
  assert.equal(getBroken({ chats: { ...chats, wrong: 1 } }), ["answers"]);
  assert.equal(getBroken({ chats: { ...chats, unanswered: 1 } }), ["answers"]);
  assert.equal(getBroken({ cuts: [{ daemon: "d1", at: 400, detail: "" }] }), ["answers"]);
  assert.equal(getBroken({ cuts: [{ daemon: "d3", at: 299, detail: "" }] }), ["answers"]);
  assert.equal(getBroken({ acts: [actWithoutRefusedKey] }), ["not-run"]);
  assert.equal(getBroken({ acts: [{ body: "note", keys: [refusedKey] }] }), ["at most once"]);
  assert.equal(getBroken({ runs: [run, { ...run, key: "k2" }] }), ["at most once"]);
  assert.equal(getBroken({ runs: [{ ...run, key: "k0" }] }), ["not-run"]);
  assert.equal(getBroken({ runs: [] }), ["at most once"]);
  assert.equal(getBroken({ leaving: { ...leaving, requestTimesAfter: [4_001] } }), ["leaving"]);
  assert.equal(getBroken({ stop: { ...stop, exitCode: 4 } }), ["planned stop"]);
  assert.equal(getBroken({ cuts: [{ daemon: "d2", at: 400, detail: "" }] }), [
    "answers",
    "planned stop",
  ]);
  assert.equal(getBroken({ outage: { whole: 0 } }), ["platform outage"]);
});

test("the configuration promise is broken by a late, lower or wrongly applied revision and an unreported refusal", () => {
  const [first = sample, refusing = sample] = good.configuration.samples;
  const broken = ["configuration"];
  assert.equal(getBrokenConfiguration({ publishedAt: -5_000 }), broken);
  assert.equal(getBrokenConfiguration({ samples: [first] }), broken);
  assert.equal(getBrokenConfiguration({ live: ["d1", "d2"] }), broken);
  assert.equal(getBrokenConfiguration({ samples: [refusing, { ...first, revision: 1 }] }), broken);
  assert.equal(getBrokenConfiguration({ samples: [refusing, { ...first, revision: 3 }] }), broken);
});

test.run();
