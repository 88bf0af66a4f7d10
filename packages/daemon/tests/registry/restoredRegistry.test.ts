import fc from "fast-check";
import { suite } from "uvu";
import * as assert from "uvu/assert";
import { RegistrySimulation, type ScriptedEvent } from "./RegistrySimulation.js";

/** Time within which the operator repeats what a restoration lost. */
const maxRepeatMilliseconds = 1_900;
const endAt = 30_000;
const seed = 2_718;
const runs = 300;

/** One restoration: when the copy is made, and how long after it the store fails and returns. */
const drill = fc
  .record({
    copyAt: fc.integer({ min: 500, max: 12_000 }),
    lostMilliseconds: fc.integer({ min: 0, max: 4_000 }),
    downMilliseconds: fc.constantFrom(0, 300, 1_000, 2_500, 6_000),
    repeatAfter: fc.integer({ min: 0, max: maxRepeatMilliseconds }),
  })
  .map(({ copyAt, lostMilliseconds, downMilliseconds, repeatAfter }): ScriptedEvent[] => {
    const downAt = copyAt + lostMilliseconds;
    return [
      { at: copyAt, kind: "copy" },
      { at: downAt, kind: "storeDown" },
      { at: downAt + downMilliseconds, kind: "restore", repeatAfter },
    ];
  });

const revocation = fc
  .integer({ min: 500, max: 18_000 })
  .map((at): ScriptedEvent[] => [{ at, kind: "revoke" }]);

const cut = fc
  .record({
    at: fc.integer({ min: 0, max: 18_000 }),
    milliseconds: fc.integer({ min: 50, max: 7_000 }),
  })
  .map(({ at, milliseconds }): ScriptedEvent[] => [
    { at, kind: "cut" },
    { at: at + milliseconds, kind: "reconnect" },
  ]);

const events = fc
  .tuple(
    fc.array(drill, { minLength: 1, maxLength: 2 }),
    fc.array(revocation, { minLength: 1, maxLength: 8 }),
    fc.array(cut, { maxLength: 2 }),
  )
  .map((parts) => parts.flat(2));

const test = suite("restored registry");

test("no revoked key is accepted too late, no version goes back, and the newest is confirmed again", async () => {
  const property = fc.asyncProperty(events, async (script) => {
    const result = await RegistrySimulation.run({ events: script, hasEra: true, endAt });
    const { lateKeys, wentBack, version, publishedVersion, ageMilliseconds } = result;
    assert.equal(
      { lateKeys, wentBack, version, isConfirmed: ageMilliseconds < 2_600 },
      { lateKeys: [], wentBack: false, version: publishedVersion, isConfirmed: true },
    );
  });
  await fc.assert(property, { seed, numRuns: runs });
});

test("without the era the same property fails", async () => {
  let lateCount = 0;
  const property = fc.asyncProperty(events, async (script) => {
    const { lateKeys } = await RegistrySimulation.run({ events: script, hasEra: false, endAt });
    lateCount += lateKeys.length > 0 ? 1 : 0;
  });
  await fc.assert(property, { seed, numRuns: runs });
  assert.ok(lateCount > 0);
});

test("a daemon with a peer keeps accepting known keys while the store is away for 1 s and restored", async () => {
  const script: ScriptedEvent[] = [
    { at: 2_000, kind: "copy" },
    { at: 4_000, kind: "storeDown" },
    { at: 4_300, kind: "peerState", ageMilliseconds: 1_300 },
    { at: 5_000, kind: "restore", repeatAfter: 500 },
  ];
  const ages: number[] = [];
  for (let until = 4_000; until <= 12_000; until += 100) {
    const result = await RegistrySimulation.run({ events: script, hasEra: true, endAt: until });
    ages.push(result.ageMilliseconds);
  }
  const highest = Math.max(...ages);
  assert.ok(highest < 4_800, `the configuration was ${String(highest)} ms old`);
});

test.run();
