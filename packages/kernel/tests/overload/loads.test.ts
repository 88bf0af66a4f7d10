import { suite } from "uvu";
import * as assert from "uvu/assert";
import type { Kind } from "./FakeDaemon.js";
import { LoadSimulation, type Load, type LoadOutcome, type Rate } from "./LoadSimulation.js";

const urgent: Kind = {
  name: "urgent",
  priority: 0,
  promptTokens: 130,
  writeMilliseconds: 300,
  goalMilliseconds: 253,
  timeoutMilliseconds: 3_000,
};
const chat: Kind = {
  name: "chat",
  priority: 1,
  promptTokens: 1_000,
  writeMilliseconds: 800,
  goalMilliseconds: 1_000,
  timeoutMilliseconds: 6_000,
};
const bulky: Kind = {
  name: "bulky",
  priority: 2,
  promptTokens: 12_000,
  writeMilliseconds: 1_500,
  goalMilliseconds: 2_000,
  timeoutMilliseconds: 10_000,
};

function at(from: number, perSecond: number): Rate {
  return { from, perSecond };
}

const many = { daemons: 28, engines: 78, slots: 16 };
const few = { daemons: 66, engines: 42, slots: 16 };

/** Parts of the requests in percent, and the slowest refusal. */
type Row = readonly [
  name: string,
  inObjective: number,
  late: number,
  lost: number,
  refusedIn: number,
];
/** Rows of the kinds, attempts that engines refused, and the most sent in 100 ms. */
type Summary = readonly [rows: readonly Row[], engineRefusals: number, peakSends: number];

function summarize({ kinds, engineRefusals, peakSends }: LoadOutcome): Summary {
  const rows = Object.entries(kinds).map(
    ([name, { arrived, inObjective, late, lost, slowestRefusal }]) => {
      const [good, slow, gone] = [inObjective, late, lost].map((n) =>
        Math.round((100 * n) / arrived),
      );
      return [name, good ?? 0, slow ?? 0, gone ?? 0, slowestRefusal] as const;
    },
  );
  return [rows, engineRefusals, peakSends];
}

function compare(load: Load): { readonly atOnce: Summary; readonly admitted: Summary } {
  const atOnce = LoadSimulation.run(load, false);
  const admitted = LoadSimulation.run(load, true);
  console.log(JSON.stringify({ atOnce, admitted }));
  return { atOnce: summarize(atOnce), admitted: summarize(admitted) };
}

const test = suite("loads of a fleet with admission control");

test("below half of the slots nothing is held: outcomes are those of sending at once", () => {
  const load: Load = {
    ...few,
    kinds: [
      { kind: urgent, rates: [at(0, 120)] },
      { kind: chat, rates: [at(0, 150)] },
      { kind: bulky, rates: [at(0, 10)] },
    ],
    milliseconds: 8_000,
  };
  assert.equal(LoadSimulation.run(load, true), LoadSimulation.run(load, false));
});

test("a burst of the bulky kind at 2.3 times its rate, then of the urgent kind, 28 daemons", () => {
  const load: Load = {
    ...many,
    kinds: [
      { kind: urgent, rates: [at(0, 300), at(7_000, 1_000), at(11_000, 300)] },
      { kind: chat, rates: [at(0, 300)] },
      { kind: bulky, rates: [at(0, 150), at(5_000, 345), at(9_000, 150)] },
    ],
    milliseconds: 14_000,
  };
  assert.equal(compare(load), {
    atOnce: [
      [
        ["urgent", 73, 25, 2, 0],
        ["chat", 99, 0, 1, 0],
        ["bulky", 97, 1, 1, 0],
      ],
      4942,
      380,
    ],
    admitted: [
      [
        ["urgent", 92, 8, 0, 0],
        ["chat", 99, 1, 0, 0],
        ["bulky", 85, 15, 0, 2650],
      ],
      966,
      212,
    ],
  });
});

test("the same with 66 daemons, of which each sees little", () => {
  const load: Load = {
    ...few,
    kinds: [
      { kind: urgent, rates: [at(0, 100), at(7_000, 500), at(11_000, 100)] },
      { kind: chat, rates: [at(0, 150)] },
      { kind: bulky, rates: [at(0, 75), at(5_000, 172), at(9_000, 75)] },
    ],
    milliseconds: 14_000,
  };
  assert.equal(compare(load), {
    atOnce: [
      [
        ["urgent", 78, 21, 0, 0],
        ["chat", 100, 0, 0, 0],
        ["bulky", 99, 0, 0, 0],
      ],
      1583,
      167,
    ],
    admitted: [
      [
        ["urgent", 90, 10, 0, 16],
        ["chat", 99, 1, 0, 937],
        ["bulky", 94, 6, 0, 1763],
      ],
      714,
      182,
    ],
  });
});

test("an overload of four times does not refuse the most urgent as often as the rest", () => {
  const load: Load = {
    ...few,
    kinds: [
      { kind: urgent, rates: [at(0, 100), at(3_000, 400)] },
      { kind: chat, rates: [at(0, 200), at(3_000, 1_000)] },
      { kind: bulky, rates: [at(0, 50), at(3_000, 200)] },
    ],
    milliseconds: 10_000,
  };
  assert.equal(compare(load), {
    atOnce: [
      [
        ["urgent", 39, 22, 39, 0],
        ["chat", 58, 0, 41, 0],
        ["bulky", 52, 5, 43, 0],
      ],
      24415,
      491,
    ],
    admitted: [
      [
        ["urgent", 91, 8, 1, 297],
        ["chat", 44, 46, 10, 1506],
        ["bulky", 19, 25, 56, 3013],
      ],
      4374,
      541,
    ],
  });
});

test("an overload of engines with 64 slots", () => {
  const load: Load = {
    ...few,
    slots: 64,
    kinds: [
      { kind: urgent, rates: [at(0, 250), at(3_000, 1_000)] },
      { kind: chat, rates: [at(0, 700), at(3_000, 2_800)] },
      { kind: bulky, rates: [at(0, 20), at(3_000, 80)] },
    ],
    milliseconds: 7_000,
  };
  assert.equal(compare(load), {
    atOnce: [
      [
        ["urgent", 95, 4, 1, 0],
        ["chat", 98, 0, 2, 0],
        ["bulky", 60, 38, 2, 0],
      ],
      7448,
      699,
    ],
    admitted: [
      [
        ["urgent", 99, 1, 0, 0],
        ["chat", 91, 9, 0, 1255],
        ["bulky", 64, 36, 0, 2088],
      ],
      724,
      618,
    ],
  });
});

test("a zone of three that is lost and returns brings no rush of what waited", () => {
  const load: Load = {
    ...few,
    kinds: [
      { kind: urgent, rates: [at(0, 220)] },
      { kind: chat, rates: [at(0, 400)] },
      { kind: bulky, rates: [at(0, 40)] },
    ],
    milliseconds: 13_000,
    zoneLoss: { from: 4_000, until: 8_000 },
  };
  assert.equal(compare(load), {
    atOnce: [
      [
        ["urgent", 92, 6, 1, 0],
        ["chat", 99, 0, 1, 0],
        ["bulky", 100, 0, 0, 0],
      ],
      2458,
      143,
    ],
    admitted: [
      [
        ["urgent", 98, 2, 0, 45],
        ["chat", 98, 2, 0, 1692],
        ["bulky", 83, 16, 1, 3461],
      ],
      1346,
      144,
    ],
  });
});

test("daemons that hear no peers neither flood the engines nor hold what fits", () => {
  const load: Load = {
    ...few,
    kinds: [
      { kind: urgent, rates: [at(0, 200)] },
      { kind: chat, rates: [at(0, 500)] },
      { kind: bulky, rates: [at(0, 30)] },
    ],
    milliseconds: 9_000,
    deafFrom: 3_000,
  };
  assert.equal(compare(load), {
    atOnce: [
      [
        ["urgent", 99, 1, 0, 0],
        ["chat", 100, 0, 0, 0],
        ["bulky", 100, 0, 0, 0],
      ],
      218,
      102,
    ],
    admitted: [
      [
        ["urgent", 99, 1, 0, 0],
        ["chat", 100, 0, 0, 813],
        ["bulky", 96, 3, 1, 813],
      ],
      243,
      101,
    ],
  });
});

test.run();
