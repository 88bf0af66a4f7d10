import fc from "fast-check";
import { suite } from "uvu";
import * as assert from "uvu/assert";
import { FleetSimulation } from "./FleetSimulation.js";

/** Time from the first leaving answer until no daemon sends new requests to the engine. */
const maxLeavingMilliseconds = 3_000;

const faultsArbitrary = fc.record({
  lossPercent: fc.constantFrom(0, 20, 50),
  cutZone: fc.constantFrom(undefined, "a", "b", "c"),
  cutMilliseconds: fc.constantFrom(5_000, 700, 100, 0, -50),
  frozenDaemon: fc.integer({ min: 0, max: 4 }),
  frozenMilliseconds: fc.constantFrom(0, 600, 900, 1_100, 4_000, 10_000),
});

const test = suite("leaving");

test("no daemon has a leaving engine as a candidate later than 3 s after its first leaving answer", () => {
  let worst = 0;
  const property = fc.property(faultsArbitrary, fc.integer(), (faults, seed) => {
    const { lastCandidateMilliseconds: lastOfferMilliseconds } = FleetSimulation.run(faults, seed);
    worst = Math.max(worst, lastOfferMilliseconds);
    assert.ok(lastOfferMilliseconds <= maxLeavingMilliseconds);
  });
  fc.assert(property, { seed: 17, numRuns: 60 });
  console.log(`last candidate after ${String(worst)} ms`);
});

test.run();
