import { MemoryBudget } from "@pistachioway/kernel";
import { suite } from "uvu";
import * as assert from "uvu/assert";

const test = suite("MemoryBudget");

// Guards against many answers that are each within their bound and together fill the memory (review case 1).
test("the largest holder fails when all is used", () => {
  const budget = MemoryBudget.create(100);
  const evicted: string[] = [];
  const [a, b, c] = ["a", "b", "c"].map((name) => budget.addShare(() => evicted.push(name)));
  assert.equal([a?.take(50), b?.take(40), c?.take(10)], [true, true, true]);
  assert.is(c?.take(5), true);
  assert.equal(evicted, ["a"]);
  assert.is(budget.getUsedBytes(), 55);
});

test("the one that asks fails when it is the largest itself", () => {
  const budget = MemoryBudget.create(100);
  const evicted: string[] = [];
  const [a, b] = ["a", "b"].map((name) => budget.addShare(() => evicted.push(name)));
  assert.equal([a?.take(30), b?.take(60), b?.take(20)], [true, true, false]);
  assert.equal(evicted, []);
  b?.release();
  b?.release();
  assert.is(budget.getUsedBytes(), 30);
});

test("a share that was taken back can be used and taken back again", () => {
  const budget = MemoryBudget.create(100);
  let evictions = 0;
  const share = budget.addShare(() => (evictions += 1));
  const other = budget.addShare();
  for (let round = 1; round <= 2; round += 1) {
    assert.equal([share.take(60), other.take(50)], [true, true]);
    assert.is(evictions, round);
    other.release();
  }
});

test("what is in use is not taken back", () => {
  const budget = MemoryBudget.create(100);
  const evicted: string[] = [];
  const pinned = budget.addShare(() => evicted.push("pinned"));
  const other = budget.addShare(() => evicted.push("other"));
  assert.is(pinned.take(90), true);
  pinned.pin();
  assert.is(other.take(20), false);
  assert.equal(evicted, []);
});

test.run();
