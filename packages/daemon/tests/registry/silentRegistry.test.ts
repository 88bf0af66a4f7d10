import { RegistryTask } from "@pistachioway/daemon";
import type { ClockReading, Registry } from "@pistachioway/kernel";
import { setTimeout as delay } from "node:timers/promises";
import { suite } from "uvu";
import * as assert from "uvu/assert";
import { collectGarbage } from "../collectGarbage.js";

const maxMilliseconds = 3_000;

const update = { changes: [], position: 1 };

/** A call that gets no answer: fails when its signal is aborted. Memory is collected meanwhile. */
async function hang(signal: AbortSignal): Promise<never> {
  void collectGarbage();
  return new Promise((_resolve, reject) => {
    signal.addEventListener("abort", () => {
      reject(signal.reason as Error);
    });
  });
}

function getClocks(): ClockReading {
  return { monotonic: performance.now(), wall: Date.now() };
}

/** Creates a registry in which one call gets no answer and later ones do. */
function createRegistry(silentCall: "read" | "watch"): Registry {
  let hasHung = false;
  const answer = (call: "read" | "watch", signal: AbortSignal) => {
    if (call !== silentCall || hasHung) {
      return Promise.resolve(update);
    }
    hasHung = true;
    return hang(signal);
  };
  return {
    readAll: (signal) => answer("read", signal),
    watch: (_position, _milliseconds, signal) => answer("watch", signal),
  };
}

/** Gets the results of calls until one succeeds after a failure, or until the time has passed. */
async function getResults(silentCall: "read" | "watch"): Promise<readonly string[]> {
  const results: string[] = [];
  const task = RegistryTask.create({
    registry: createRegistry(silentCall),
    getClocks,
    pause: () => Promise.resolve(),
    record: () => undefined,
    onUpstream: () => undefined,
    onTable: () => undefined,
    onCall: (call, result) => {
      results.push(`${call} ${result}`);
      if (result === "ok" && results.some((other) => other.endsWith("failed"))) {
        task.stop();
      }
    },
  });
  await Promise.race([task.run(), delay(maxMilliseconds)]);
  task.stop();
  return results;
}

const test = suite("RegistryTask and a registry that does not answer");

// Guards against a router that waits for one response of the registry for ever, and never confirms its configuration again.
test("a read without a response ends when memory is collected meanwhile", async () => {
  assert.equal(await getResults("read"), ["read failed", "read ok"]);
});

// The same failure, for the call that follows the first read.
test("a watch without a response ends when memory is collected meanwhile", async () => {
  assert.equal(await getResults("watch"), ["read ok", "watch failed", "watch ok"]);
});

test.run();
