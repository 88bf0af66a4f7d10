import fc from "fast-check";
import { suite } from "uvu";
import * as assert from "uvu/assert";
import { Kernel, retriesPlugin, type FailureMessage } from "@pistachioway/kernel";

const now = 1_000_000;

function createFailure(requestId: string): FailureMessage {
  return {
    kind: "failed",
    requestId,
    class: "refused",
    host: "e1",
    attempt: 1,
    repeatable: true,
    firstByteSent: false,
    deadline: now + 60_000,
  };
}

const test = suite("retry budget");

test("never spends more than the larger of the initial retries and the earned ones", () => {
  const steps = fc.array(fc.boolean(), { maxLength: 400 });
  const property = fc.property(steps, fc.integer({ min: 0, max: 100 }), (failures, percent) => {
    const kernel = Kernel.create(1);
    kernel.send(retriesPlugin, { kind: "configure", budgetRatio: percent / 100 }, now);
    let retries = 0;
    failures.forEach((isFailed, index) => {
      const requestId = String(index);
      kernel.send(retriesPlugin, { kind: "start", requestId }, now);
      const effects = isFailed ? kernel.send(retriesPlugin, createFailure(requestId), now) : [];
      retries += effects.filter((effect) => effect.kind === "retry").length;
    });
    const initial = percent === 0 ? 0 : 3;
    assert.ok(retries <= Math.max(initial, (failures.length * percent) / 100));
  });
  fc.assert(property, { seed: 7, numRuns: 300 });
});

test("an idle daemon may use the initial retries", () => {
  const kernel = Kernel.create(1);
  const kinds = ["a", "b", "c", "d"].map((id) => {
    return kernel.send(retriesPlugin, createFailure(id), now)[0]?.kind;
  });
  assert.equal(kinds, ["retry", "retry", "retry", "giveUp"]);
});

test.run();
