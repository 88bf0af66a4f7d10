import fc from "fast-check";
import { suite } from "uvu";
import * as assert from "uvu/assert";
import { RetryWindowBudget } from "@pistachioway/kernel";

const test = suite("RetryWindowBudget");

const options = { ratio: 0.2, slack: 50, windowMilliseconds: 10_000 };

interface Step {
  readonly gap: number;
  readonly daemon: number;
  readonly isRetry: boolean;
}

const stepArbitrary = fc.record({
  gap: fc.integer({ min: 0, max: 60 }),
  daemon: fc.integer({ min: 0, max: 4 }),
  isRetry: fc.boolean(),
});

/** Gets the largest excess of retries over the fleet's budget, in any window. */
function getLargestExcess(requests: readonly number[], retries: readonly number[]): number {
  const count = (times: readonly number[], end: number) =>
    times.filter((at) => at > end - options.windowMilliseconds && at <= end).length;
  return Math.max(
    0,
    ...retries.map((end) => {
      const allowed = options.ratio * count(requests, end) + options.slack;
      return count(retries, end) - allowed;
    }),
  );
}

test("five daemons without coordination keep to the fleet's budget in every window", () => {
  const property = fc.property(fc.array(stepArbitrary, { maxLength: 1_500 }), (steps: Step[]) => {
    const budgets = Array.from({ length: 5 }, () => RetryWindowBudget.create(options));
    const requests: number[] = [];
    const retries: number[] = [];
    let now = 0;
    for (const { gap, daemon, isRetry } of steps) {
      now += gap;
      if (!isRetry) {
        budgets[daemon]?.addRequest(now);
        requests.push(now);
      } else if (budgets[daemon]?.spendRetry(now, 5) === true) {
        retries.push(now);
      }
    }
    assert.is(getLargestExcess(requests, retries), 0);
  });
  fc.assert(property, { seed: 11, numRuns: 60 });
});

test("allows a share of the slack at once, and again after the window", () => {
  const budget = RetryWindowBudget.create(options);
  const spend = (now: number) =>
    Array.from({ length: 20 }, () => budget.spendRetry(now, 5)).filter(Boolean).length;
  assert.equal([spend(0), spend(5_000), spend(11_100)], [8, 0, 8]);
});

test.run();
