import { BodyBuffer, MemoryBudget } from "@pistachioway/kernel";
import { suite } from "uvu";
import * as assert from "uvu/assert";

const test = suite("BodyBuffer");

const limits = { maxBytes: 1_000_000, maxPieces: 1_000_000 };

function createBuffer(budget = MemoryBudget.create(Infinity), own = limits): BodyBuffer {
  return BodyBuffer.create(own, budget.addShare());
}

test("joins pieces of any sizes", () => {
  for (const pieceBytes of [1, 3, 1_023, 1_024, 1_025, 70_000, 200_000]) {
    const buffer = createBuffer();
    const text = Buffer.from(Array.from({ length: 200_000 }, (_, index) => index % 251));
    for (let at = 0; at < text.length; at += pieceBytes) {
      assert.is(buffer.push(text.subarray(at, at + pieceBytes)), undefined);
    }
    assert.is(buffer.length, text.length);
    assert.ok(buffer.toBuffer().equals(text), `pieces of ${String(pieceBytes)} bytes`);
  }
});

test("is empty without pieces", () => {
  assert.is(createBuffer().toBuffer().length, 0);
});

// Guards against a heap that many small pieces of one body fill (review case 1).
test("takes about as much memory as it has bytes, in pieces of one byte", () => {
  const budget = MemoryBudget.create(Infinity);
  const buffer = createBuffer(budget);
  const piece = Buffer.from("z");
  for (let count = 0; count < 500_000; count += 1) {
    buffer.push(piece);
  }
  assert.ok(budget.getUsedBytes() < 500_000 + 65_536);
  buffer.clear();
  assert.is(budget.getUsedBytes(), 0);
});

test("names the bound that a piece exceeds", () => {
  const budget = MemoryBudget.create(2_048);
  const piece = Buffer.alloc(600);
  const pushTwice = (buffer: BodyBuffer) => [buffer.push(piece), buffer.push(piece)];
  assert.equal(pushTwice(createBuffer(undefined, { maxBytes: 1_000, maxPieces: 9 })), [
    undefined,
    "bytes",
  ]);
  assert.equal(pushTwice(createBuffer(undefined, { maxBytes: 9_000, maxPieces: 1 })), [
    undefined,
    "pieces",
  ]);
  assert.equal(pushTwice(createBuffer(budget)), [undefined, "memory"]);
});

test.run();
