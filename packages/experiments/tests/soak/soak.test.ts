import { Soak, soakOptionsSchema } from "@pistachioway/experiments";
import { suite } from "uvu";
import * as assert from "uvu/assert";

const test = suite("soak");

/** Seeds that broke a promise once, each with its cause. */
const regressions: Readonly<Record<number, string>> = {};

/** Seeds whose kinds of disturbance cover planned stops, kills, bad upstreams and revocation. */
const usualSeeds = [7, 3218];
const seeds = [...usualSeeds, ...Object.keys(regressions).map(Number)];

for (const seed of seeds) {
  test(`keeps every promise under disturbances of seed ${String(seed)}`, async () => {
    const result = await Soak.run(soakOptionsSchema.parse({ seed, seconds: 8 }));
    assert.ok(result.runs > 0, "some requests ran");
    assert.equal(result.violations, []);
  });
}

test.run();
