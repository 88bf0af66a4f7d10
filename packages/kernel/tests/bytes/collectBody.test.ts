import { collectBody, collectText, MemoryBudget } from "@pistachioway/kernel";
import { suite } from "uvu";
import * as assert from "uvu/assert";

const test = suite("collectBody");

const limits = { maxBytes: 100, maxPieces: 10 };

/** Pieces that never end; counts how many were read and whether reading has stopped. */
class EndlessPieces implements AsyncIterable<Uint8Array> {
  readCount = 0;
  wasStopped = false;

  private constructor(private readonly piece: Buffer) {}

  static create(bytes: number): EndlessPieces {
    return new EndlessPieces(Buffer.alloc(bytes));
  }

  [Symbol.asyncIterator](): AsyncIterator<Uint8Array> {
    return {
      next: () => {
        this.readCount += 1;
        return Promise.resolve({ done: false, value: this.piece });
      },
      return: () => {
        this.wasStopped = true;
        return Promise.resolve({ done: true, value: undefined });
      },
    };
  }
}

async function* toPieces(texts: readonly string[]): AsyncGenerator<Uint8Array> {
  for (const text of texts) {
    await Promise.resolve();
    yield Buffer.from(text);
  }
}

test("joins the pieces of a body", async () => {
  assert.equal(await collectBody(toPieces(["ab", "", "c"]), limits), Buffer.from("abc"));
  assert.is(await collectText(toPieces(["ä", "b"])), "äb");
});

// Guards against answers without end on the paths that read a whole body.
test("stops to read a body that exceeds a bound, and returns its memory", async () => {
  const memory = MemoryBudget.create(50_000);
  const large = EndlessPieces.create(40);
  const small = EndlessPieces.create(1);
  const many = EndlessPieces.create(10_000);
  assert.equal(
    [
      await collectBody(large, limits, memory),
      await collectBody(small, limits, memory),
      await collectBody(many, { maxBytes: Infinity, maxPieces: Infinity }, memory),
    ],
    ["bytes", "pieces", "memory"],
  );
  assert.equal(
    [large, small, many].map(({ readCount, wasStopped }) => [readCount, wasStopped]),
    [
      [3, true],
      [11, true],
      [4, true],
    ],
  );
  assert.is(memory.getUsedBytes(), 0);
});

test.run();
