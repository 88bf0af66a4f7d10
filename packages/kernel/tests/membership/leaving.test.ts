import fc from "fast-check";
import { suite } from "uvu";
import * as assert from "uvu/assert";
import { FleetSimulation } from "./FleetSimulation.js";

/** From the first sign to the last new request. */
const maxLeavingMilliseconds = 3_000;

const faultsArbitrary = fc.record({
  lossPercent: fc.constantFrom(0, 20, 50),
  cutZone: fc.constantFrom(undefined, "a", "b", "c"),
  cutMilliseconds: fc.constantFrom(5_000, 700, 100, 0, -50),
  frozenDaemon: fc.integer({ min: 0, max: 4 }),
  frozenMilliseconds: fc.constantFrom(0, 600, 900, 1_100, 4_000, 10_000),
});

const test = suite("leaving");

test("no daemon offers a leaving engine later than 3 s after the first sign", () => {
  let worst = 0;
  const property = fc.property(faultsArbitrary, fc.integer(), (faults, seed) => {
    const { lastCandidateMilliseconds: lastOfferMilliseconds } = FleetSimulation.run(faults, seed);
    worst = Math.max(worst, lastOfferMilliseconds);
    assert.ok(lastOfferMilliseconds <= maxLeavingMilliseconds);
  });
  fc.assert(property, { seed: 17, numRuns: 60 });
  console.log(`last offer after ${String(worst)} ms`);
});

test.run();
