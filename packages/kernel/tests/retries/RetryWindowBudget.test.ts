import fc from "fast-check";
import { suite } from "uvu";
import * as assert from "uvu/assert";
import { RetryWindowBudget } from "@pistachioway/kernel";

const test = suite("RetryWindowBudget");

const terms = { ratio: 0.2, slack: 50, windowMilliseconds: 10_000 };

interface Step {
  readonly gap: number;
  readonly daemon: number;
  readonly isRepeat: boolean;
}

const stepArbitrary = fc.record({
  gap: fc.integer({ min: 0, max: 60 }),
  daemon: fc.integer({ min: 0, max: 4 }),
  isRepeat: fc.boolean(),
});

/** Gets the largest excess of repeats over what a window allows, in any window. */
function getLargestExcess(requests: readonly number[], repeats: readonly number[]): number {
  const count = (times: readonly number[], end: number) =>
    times.filter((at) => at > end - terms.windowMilliseconds && at <= end).length;
  return Math.max(
    0,
    ...repeats.map((end) => {
      const allowed = terms.ratio * count(requests, end) + terms.slack;
      return count(repeats, end) - allowed;
    }),
  );
}

test("five daemons that talk about nothing keep the fleet's budget in every window", () => {
  const property = fc.property(fc.array(stepArbitrary, { maxLength: 1_500 }), (steps: Step[]) => {
    const budgets = Array.from({ length: 5 }, () => RetryWindowBudget.create(terms));
    const requests: number[] = [];
    const repeats: number[] = [];
    let now = 0;
    for (const { gap, daemon, isRepeat } of steps) {
      now += gap;
      if (!isRepeat) {
        budgets[daemon]?.addRequest(now);
        requests.push(now);
      } else if (budgets[daemon]?.spendRetry(now, 5) === true) {
        repeats.push(now);
      }
    }
    assert.is(getLargestExcess(requests, repeats), 0);
  });
  fc.assert(property, { seed: 11, numRuns: 60 });
});

test("allows a share of the slack at once, and again when the window has passed", () => {
  const budget = RetryWindowBudget.create(terms);
  const spend = (now: number) =>
    Array.from({ length: 20 }, () => budget.spendRetry(now, 5)).filter(Boolean).length;
  assert.equal([spend(0), spend(5_000), spend(11_100)], [8, 0, 8]);
});

test.run();
