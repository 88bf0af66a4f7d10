import fc from "fast-check";
import { suite } from "uvu";
import * as assert from "uvu/assert";
import type { ActGuard } from "@pistachioway/kernel";
import type { ActScenario, Fault } from "./ActSimulation.js";
import { explore, runRandomWalk } from "./actExplorer.js";

const test = suite("acts: interleavings");

const atIssuer = { at: "d1", key: 0 };
const atPeer = { at: "d2", key: 0 };
const pair = { daemons: ["d1", "d2"], submits: [atIssuer, atPeer] };
const trio = { daemons: ["d1", "d2", "d3"], submits: [atIssuer, atPeer, { at: "d3", key: 0 }] };

const allComplete = ["complete,complete"];
const completeOrUnknown = [
  ...allComplete,
  "complete,unknown",
  "unknown,complete",
  "unknown,unknown",
];
const cases: [ActScenario, readonly string[]][] = [
  [{ ...pair, faults: {} }, allComplete],
  [{ ...pair, faults: { refuse: 4 } }, [...allComplete, "not-run,not-run"]],
  [{ ...pair, faults: { lose: 2 } }, [...allComplete, "unknown,unknown"]],
  [{ ...pair, faults: { lose: 1, duplicate: 1, refuse: 1 } }, [...allComplete, "unknown,unknown"]],
  [{ ...pair, faults: { kill: 1, lose: 1, refuse: 1 } }, completeOrUnknown],
  [{ ...pair, faults: { handOver: 1 } }, allComplete],
  [{ ...pair, faults: { handOver: 1, duplicate: 1 } }, allComplete],
  [{ ...pair, faults: { handOver: 1, lose: 1 } }, completeOrUnknown],
  [{ ...pair, faults: { handOver: 1, kill: 1 } }, completeOrUnknown],
  [{ ...pair, faults: { handOver: 1, clockForward: 1, clockBack: 1 } }, completeOrUnknown],
  [{ ...trio, faults: { handOver: 1 } }, ["complete,complete,complete"]],
  [{ ...trio, submits: [{ at: "d3", key: 0 }], faults: { handOver: 2 } }, ["complete"]],
];

for (const [scenario, outcomes] of cases) {
  const { submits, faults } = scenario;
  test(`${String(submits.length)} submits of one key, faults ${JSON.stringify(faults)}`, () => {
    const { states, ...found } = explore(scenario);
    console.log(`${String(states)} states`);
    assert.equal(found, { outcomes });
  });
}

const unguarded: [ActGuard, string, Omit<ActScenario, "disabledGuards">][] = [
  ["act-single-send", "ran twice", { ...pair, faults: {} }],
  ["act-incarnation", "ran twice", { ...pair, hasFixedSecret: true, faults: { kill: 1 } }],
  ["act-expiry", "ran twice", { ...pair, faults: { clockForward: 1 } }],
  ["act-latest-time", "ran twice", { ...pair, faults: { clockForward: 1, clockBack: 1 } }],
  ["act-attempt-id", "ran twice", { ...pair, faults: { refuse: 1, duplicate: 1 } }],
  ["act-refused-final", "not-run, but it ran", { ...pair, faults: { refuse: 3 } }],
  ["act-lost-unknown", "ran twice", { ...pair, faults: { lose: 1 } }],
  ["hand-over-release", "ran twice", { ...pair, faults: { handOver: 1 } }],
  ["hand-over-once", "ran twice", { ...pair, faults: { handOver: 1, duplicate: 1 } }],
  ["hand-over-latest-time", "ran twice", { ...pair, faults: { handOver: 1, clockForward: 1 } }],
];

for (const [guard, violation, scenario] of unguarded) {
  test(`fails without the guard ${guard}`, () => {
    assert.is(explore({ ...scenario, disabledGuards: [guard] }).violation, violation);
  });
}

test("finds no violation in long random walks with many faults", () => {
  const faults: Record<Fault, number> = {
    lose: 3,
    duplicate: 3,
    refuse: 2,
    kill: 2,
    handOver: 1,
    clockForward: 1,
    clockBack: 1,
  };
  const submits = [0, 1].flatMap((key) => trio.submits.map(({ at }) => ({ at, key })));
  const scenario = { ...trio, submits, faults };
  const choices = fc.array(fc.nat(10_000), { minLength: 60, maxLength: 60 });
  const property = fc.property(choices, (walk) => runRandomWalk(scenario, walk) === undefined);
  fc.assert(property, { seed: 4, numRuns: 200 });
});

test.run();
