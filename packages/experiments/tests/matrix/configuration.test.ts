import { matrixOptionsSchema, runMatrix } from "@pistachioway/experiments";
import { suite } from "uvu";
import * as assert from "uvu/assert";

const seed = 1;
const test = suite("matrix: configuration");

test("holds what was accepted, and takes nothing older, under every quick fault", async () => {
  const options = matrixOptionsSchema.parse({ seed, quick: true, promises: ["configuration"] });
  const cells = await runMatrix(options);
  assert.ok(cells.length > 0);
  assert.equal(
    cells.filter((cell) => !cell.held),
    [],
  );
});

test.run();
