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

/** Follows a registry that makes the given answers and then none, and gets the age after each. */
async function follow(
  answers: readonly Call[],
  onWait: (milliseconds: number) => void = () => undefined,
  onCall: (now: number) => void = () => undefined,
): Promise<readonly number[]> {
  let now = 0;
  const ages: number[] = [];
  const waiting = [...answers];
  const getClocks = (): ClockReading => ({ monotonic: now, wall: now });
  const next = async (): ReturnType<Call> => {
    onCall(now);
    ages.push(task.getAgeMilliseconds());
    const answer = waiting.shift();
    if (answer === undefined) {
      task.stop();
      throw new Error("the registry is away");
    }
    return answer(() => now);
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

function after(milliseconds: number, news: Partial<RegistryUpdate> = {}): Call {
  return () => {
    advance(milliseconds);
    return Promise.resolve({ changes: [], position: 1, ...news });
  };
}

const first = after(10, { changes: [{ kind: "routing", routing, faults: [] }] });

const gone = after(5, { changes: [{ kind: "upstreamGone", id: "e-1" }] });

test("a reading tells of when it was asked for", async () => {
  assert.equal(await follow([first]), [Infinity, 700]);
});

test("an empty watch that lasted its time tells of a second before its end", async () => {
  const ages = await follow([first, after(800), after(1_500)]);
  assert.equal(ages, [Infinity, 700, 800, 1_000]);
});

test("an empty watch that ended early, and one with changes, tell of when they were asked for", async () => {
  assert.equal(await follow([first, after(800), after(720), gone]), [Infinity, 700, 800, 720, 700]);
});

test("a configuration that cannot be read confirms nothing, until one can", async () => {
  const torn = after(5, { changes: [{ kind: "routingInvalid", detail: "torn" }] });
  const mended = after(5, {
    changes: [{ kind: "routing", routing: { ...routing, version: 2 }, faults: [] }],
  });
  assert.equal(await follow([first, torn, after(1_500), mended]), [
    Infinity,
    700,
    1_400,
    2_900,
    700,
  ]);
});

test("changes that come close together cost a call every 700 ms, and no watch outlasts 1.5 s", async () => {
  const waits: number[] = [];
  await follow([first, gone, gone, gone, after(1_500), after(1_500)], (wait) => waits.push(wait));
  assert.equal(waits, [810, 805, 805, 805, 1_500, 1_500]);
});

test("asks for whole milliseconds, whatever the clock reads", async () => {
  const waits: number[] = [];
  const odd = after(0.3, { changes: [{ kind: "upstreamGone", id: "e-1" }] });
  await follow([first, odd, odd], (wait) => waits.push(wait));
  assert.equal(waits, [810, 800, 800]);
});

test("a registry that forgets its history again and again is read every 1.4 s", async () => {
  const lost: Call = () => {
    advance(5);
    return Promise.resolve({ kind: "historyLost" });
  };
  const starts: number[] = [];
  await follow([first, lost, first, lost, first], undefined, (now) => starts.push(now));
  assert.equal(starts, [0, 700, 1_400, 2_100, 2_800, 3_500]);
});

test.run();
