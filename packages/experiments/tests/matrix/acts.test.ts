import { matrixOptionsSchema, runMatrix } from "@pistachioway/experiments";
import { suite } from "uvu";
import * as assert from "uvu/assert";

const seed = 1;
const test = suite("matrix: acts");

test("runs an act at most once, and reports not-run only for acts that did not run, under every quick fault", async () => {
  const promises = ["at-most-once", "not-run-true", "exactly-once-without-fault"] as const;
  const options = matrixOptionsSchema.parse({ seed, quick: true, promises });
  const cells = await runMatrix(options);
  assert.ok(cells.length > promises.length);
  assert.equal(
    cells.filter((cell) => !cell.held),
    [],
  );
});

test.run();
