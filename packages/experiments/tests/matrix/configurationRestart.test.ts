import { matrixOptionsSchema, runMatrix } from "@pistachioway/experiments";
import { suite } from "uvu";
import * as assert from "uvu/assert";

const seed = 1;
const test = suite("matrix: configurationRestart");

test("gets the configuration from peers when a daemon starts while the platform is down", async () => {
  const options = matrixOptionsSchema.parse({
    seed,
    cell: "configuration/platform down/during a restart",
  });
  const cells = await runMatrix(options);
  assert.ok(cells.length > 0);
  assert.equal(
    cells.filter((cell) => !cell.held),
    [],
  );
});

test.run();
