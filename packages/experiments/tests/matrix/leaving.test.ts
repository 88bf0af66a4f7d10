import { matrixOptionsSchema, runMatrix } from "@pistachioway/experiments";
import { suite } from "uvu";
import * as assert from "uvu/assert";

const seed = 1;
const test = suite("matrix: leaving");

test("sends no new work to a leaving engine after the limit", async () => {
  const options = matrixOptionsSchema.parse({ seed, quick: true, promises: ["leaving"] });
  const cells = await runMatrix(options);
  assert.ok(cells.length > 0);
  assert.equal(
    cells.filter((cell) => !cell.held),
    [],
  );
});

test.run();
