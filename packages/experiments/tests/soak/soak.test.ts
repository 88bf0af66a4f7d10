import { Soak, soakOptionsSchema } from "@pistachioway/experiments";
import { suite } from "uvu";
import * as assert from "uvu/assert";

const test = suite("soak");

/** Seeds that broke a promise once, each with its cause. */
const regressions: Readonly<Record<number, string>> = {};

const seeds = [7, ...Object.keys(regressions).map(Number)];

for (const seed of seeds) {
  test(`keeps every promise under disturbances of seed ${String(seed)}`, async () => {
    const result = await Soak.run(soakOptionsSchema.parse({ seed, seconds: 8 }));
    assert.ok(result.runs > 0, "some requests ran");
    assert.equal(result.violations, []);
  });
}

test.run();
