import { suite } from "uvu";
import * as assert from "uvu/assert";
import type { AdmissionGuard, Team } from "@pistachioway/kernel";
import { SurgeSimulation, type TeamLoad, type TeamOutcome } from "./SurgeSimulation.js";

function createLoad(name: string, requestsPerSecond: number, priority = 5): TeamLoad {
  const tokenSha256 = "0".repeat(64);
  const team: Team = { name, tokenSha256, priority, share: 1, maxConcurrent: 1000 };
  return { team, requestsPerSecond, serviceMilliseconds: 8_000 };
}

/**
 * Runs four teams whose loads stay within their shares of 25 running requests each.
 *
 * The load of the first team is multiplied by `surge`.
 */
function run(
  surge: number,
  seed: number,
  priority = 5,
  guards: readonly AdmissionGuard[] = [],
): TeamOutcome[] {
  const loads = [
    createLoad("large", 2 * surge, priority),
    createLoad("b", 2),
    createLoad("c", 2),
    createLoad("d", 1),
  ];
  return SurgeSimulation.run(loads, seed, guards);
}

const test = suite("surge");

test("a tenfold surge of one team does not affect teams below their shares", () => {
  for (const seed of [1, 2, 3]) {
    const before = run(1, seed);
    const after = run(10, seed, 9);
    console.log(JSON.stringify({ seed, before, after }));
    const others = after.slice(1);
    assert.equal(
      others.map(({ arrived, admitted, refused, expired }) => ({
        arrived,
        lost: refused + expired,
        isServed: admitted >= arrived - 2,
      })),
      others.map(({ arrived }) => ({ arrived, lost: 0, isServed: true })),
    );
    assert.ok((after[0]?.admitted ?? 0) > (before[0]?.admitted ?? 0));
  }
});

test("without the guard a surge of a high-priority team causes losses for the others", () => {
  const outcomes = run(10, 1, 9, ["admission-shares"]);
  const lost = outcomes.slice(1).reduce((sum, { refused, expired }) => sum + refused + expired, 0);
  assert.ok(lost > 100);
});

test.run();
