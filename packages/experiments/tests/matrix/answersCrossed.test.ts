import { matrixOptionsSchema, runMatrix } from "@pistachioway/experiments";
import { suite } from "uvu";
import * as assert from "uvu/assert";

const seed = 1;
const test = suite("matrix: answersCrossed");

test("gives every caller its own complete answer or a failure when answers are crossed", async () => {
  const options = matrixOptionsSchema.parse({
    seed,
    cell: "answers-whole/answers crossed/after the request before the answer",
  });
  const cells = await runMatrix(options);
  assert.ok(cells.length > 0);
  assert.equal(
    cells.filter((cell) => !cell.held),
    [],
  );
});

test.run();
