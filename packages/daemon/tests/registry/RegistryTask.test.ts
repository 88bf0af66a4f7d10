import type { ClockReading, Registry, RegistryNews } from "@pistachioway/kernel";
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

type Call = (now: () => number) => Promise<RegistryNews>;

/** Follows a registry that makes the given answers and then none, and gets the age after each. */
async function follow(answers: readonly Call[]): Promise<readonly number[]> {
  let now = 0;
  const ages: number[] = [];
  const waiting = [...answers];
  const getClocks = (): ClockReading => ({ monotonic: now, wall: now });
  const next = async (): Promise<RegistryNews> => {
    ages.push(task.getAgeMilliseconds());
    const answer = waiting.shift();
    if (answer === undefined) {
      task.stop();
      throw new Error("the registry is away");
    }
    return answer(() => now);
  };
  const registry: Registry = { readAll: next, watch: next };
  const task = RegistryTask.create({
    registry,
    getClocks,
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

function after(milliseconds: number, news: Partial<RegistryNews> = {}): Call {
  return () => {
    advance(milliseconds);
    return Promise.resolve({ changes: [], position: 1, ...news });
  };
}

const first = after(10, { changes: [{ kind: "routing", routing, faults: [] }] });

test("a reading tells of when it was asked for", async () => {
  assert.equal(await follow([first]), [Infinity, 10]);
});

test("an empty watch that lasted its time tells of a second before its end", async () => {
  assert.equal(await follow([first, after(1_500)]), [Infinity, 10, 1_000]);
});

test("an empty watch that ended early, and one with changes, tell of when they were asked for", async () => {
  const gone = after(1_500, { changes: [{ kind: "upstreamGone", id: "e-1" }] });
  assert.equal(await follow([first, after(700), gone]), [Infinity, 10, 700, 1_500]);
});

test("a configuration that cannot be read confirms nothing, until one can", async () => {
  const torn = after(5, { changes: [{ kind: "routingInvalid", detail: "torn" }] });
  const mended = after(5, {
    changes: [{ kind: "routing", routing: { ...routing, version: 2 }, faults: [] }],
  });
  assert.equal(await follow([first, torn, after(1_500), mended]), [Infinity, 10, 15, 1_515, 5]);
});

test.run();
