import { suite } from "uvu";
import { runSoakOrThrow } from "./runSoak.js";

const test = suite("soak");

/** Seeds that once broke a promise, with the cause of each. */
const regressions: Readonly<Record<number, string>> = {};

/** Seeds whose disturbances cover planned stops, kills, faulty upstreams and revocation. */
const usualSeeds = [7, 3218];
const seeds = [...usualSeeds, ...Object.keys(regressions).map(Number)];

for (const seed of seeds) {
  test(`keeps every promise under disturbances of seed ${String(seed)}`, async () => {
    await runSoakOrThrow(["--seed", String(seed), "--seconds", "8"]);
  });
}

// Guards against requests to an evacuated zone, also after a restoration of the store or a restart of a router.
test("keeps every promise while zones are evacuated", async () => {
  const kinds = "zone-evacuated,store-restored,kill,router-cut-from-store";
  await runSoakOrThrow(["--seed", "41", "--seconds", "14", "--kinds", kinds]);
});

test.run();
