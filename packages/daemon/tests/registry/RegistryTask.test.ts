import type { ClockReading, Registry, RegistryUpdate } from "@pistachioway/kernel";
import { RegistryTask } from "@pistachioway/daemon";
import { suite } from "uvu";
import * as assert from "uvu/assert";

const test = suite("RegistryTask");

const routing = {
  version: 1,
  routes: [],
  services: [],
  limits: {
    headerBytes: 1,
    bodyBytes: 1,
    headerTimeoutMilliseconds: 1,
    idleTimeoutMilliseconds: 1,
  },
};

type Call = (now: () => number) => Promise<RegistryUpdate | { readonly kind: "historyLost" }>;

/** Runs a task against a registry that gives the responses and then fails; gets the age before each call. */
async function run(
  responses: readonly Call[],
  onWait: (milliseconds: number) => void = () => undefined,
  onCall: (now: number) => void = () => undefined,
): Promise<readonly number[]> {
  let now = 0;
  const ages: number[] = [];
  const remaining = [...responses];
  const getClocks = (): ClockReading => ({ monotonic: now, wall: now });
  const next = async (): ReturnType<Call> => {
    onCall(now);
    ages.push(task.getAgeMilliseconds());
    const respond = remaining.shift();
    if (respond === undefined) {
      task.stop();
      throw new Error("the registry is unreachable");
    }
    return respond(() => now);
  };
  const registry: Registry = {
    readAll: async () => (await next()) as RegistryUpdate,
    watch: (_position, milliseconds) => {
      onWait(milliseconds);
      return next();
    },
  };
  const task = RegistryTask.create({
    registry,
    getClocks,
    pause: (milliseconds) => {
      now += milliseconds;
      return Promise.resolve();
    },
    record: () => undefined,
    onUpstream: () => undefined,
    onTable: () => undefined,
    onCall: () => undefined,
  });
  advance = (milliseconds) => {
    now += milliseconds;
  };
  await task.run();
  return ages;
}

let advance: (milliseconds: number) => void = () => undefined;

function after(milliseconds: number, update: Partial<RegistryUpdate> = {}): Call {
  return () => {
    advance(milliseconds);
    return Promise.resolve({ changes: [], position: 1, ...update });
  };
}

const first = after(10, { changes: [{ kind: "routing", routing, faults: [] }] });

const gone = after(5, { changes: [{ kind: "upstreamGone", id: "e-1" }] });

test("a read confirms the configuration as of its request", async () => {
  assert.equal(await run([first]), [Infinity, 700]);
});

test("an empty watch that lasted its full time confirms the configuration as of 1 s before its end", async () => {
  const ages = await run([first, after(800), after(1_500)]);
  assert.equal(ages, [Infinity, 700, 800, 1_000]);
});

test("an empty watch that ended early, and one with changes, confirm it as of their request", async () => {
  assert.equal(await run([first, after(800), after(720), gone]), [Infinity, 700, 800, 720, 700]);
});

test("an invalid configuration renews no lease until a valid one follows", async () => {
  const invalid = after(5, { changes: [{ kind: "routingInvalid", detail: "torn" }] });
  const valid = after(5, {
    changes: [{ kind: "routing", routing: { ...routing, version: 2 }, faults: [] }],
  });
  assert.equal(await run([first, invalid, after(1_500), valid]), [
    Infinity,
    700,
    1_400,
    2_900,
    700,
  ]);
});

test("changes close together take a call every 700 ms, and no watch lasts longer than 1.5 s", async () => {
  const waits: number[] = [];
  await run([first, gone, gone, gone, after(1_500), after(1_500)], (wait) => waits.push(wait));
  assert.equal(waits, [810, 805, 805, 805, 1_500, 1_500]);
});

test("requests waits in whole milliseconds when the clock has fractions", async () => {
  const waits: number[] = [];
  const fractional = after(0.3, { changes: [{ kind: "upstreamGone", id: "e-1" }] });
  await run([first, fractional, fractional], (wait) => waits.push(wait));
  assert.equal(waits, [810, 800, 800]);
});

test("a registry that repeatedly loses its history is read every 1.4 s", async () => {
  const lost: Call = () => {
    advance(5);
    return Promise.resolve({ kind: "historyLost" });
  };
  const starts: number[] = [];
  await run([first, lost, first, lost, first], undefined, (now) => starts.push(now));
  assert.equal(starts, [0, 700, 1_400, 2_100, 2_800, 3_500]);
});

test.run();
