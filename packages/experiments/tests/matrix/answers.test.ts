import { matrixOptionsSchema, runMatrix } from "@pistachioway/experiments";
import { suite } from "uvu";
import * as assert from "uvu/assert";

const seed = 1;
const test = suite("matrix: answers");

test("gives every caller its own complete answer or a failure, under every quick fault", async () => {
  const options = matrixOptionsSchema.parse({ seed, quick: true, promises: ["answers-whole"] });
  const cells = await runMatrix(options);
  assert.ok(cells.length > 0);
  assert.equal(
    cells.filter((cell) => !cell.held),
    [],
  );
});

test.run();
