import { suite } from "uvu";
import * as assert from "uvu/assert";
import {
  ballycorrig,
  callaloo,
  policyFactories,
  runTrial,
  scenarios,
  type Deployment,
  type TrialResult,
} from "@pistachioway/experiments";

const test = suite("bench trial");
const seeds = [101, 202];

function run(deployment: Deployment, name: string, policy: string, seed: number): TrialResult {
  const scenario = scenarios.find((entry) => entry.name === name);
  const createPolicy = policyFactories.get(policy);
  if (scenario === undefined || createPolicy === undefined) {
    throw new Error(`no scenario "${name}" or policy "${policy}"`);
  }
  return runTrial({ deployment, scenario, seed, createPolicy, keepsSamples: false });
}

test("runs with the same seed give the same result", () => {
  const short = { ...callaloo, measuredSeconds: 10 };
  assert.equal(run(short, "loss", "ours", 7), run(short, "loss", "ours", 7));
  assert.not.equal(run(short, "loss", "ours", 7), run(short, "loss", "ours", 8));
});

for (const deployment of [callaloo, ballycorrig]) {
  for (const { name } of scenarios) {
    test(`ours meets its targets: ${deployment.name}, ${name}`, () => {
      const minReuse = ["steady", "churn", "surge"].includes(name) ? 0.95 : 0.9;
      const results = seeds.map((seed) => {
        const ours = run(deployment, name, "ours", seed);
        const oracle = run(deployment, name, "oracle", seed);
        return {
          timeOverBound: ours.timeOverBound,
          reusesEnough: ours.cacheReuse >= minReuse * oracle.cacheReuse,
          sendsLittle: ours.controlBytesPerSecond <= 4096,
        };
      });
      const met = { timeOverBound: 0, reusesEnough: true, sendsLittle: true };
      assert.equal(results, [met, met]);
    });
  }
}

test("plain hash exceeds the bound, which shows that the measurement detects it", () => {
  const result = run({ ...callaloo, measuredSeconds: 20 }, "steady", "plain-hash", 1);
  assert.ok(result.timeOverBound > 0.1);
  assert.ok(result.maxLoadOverMean > 1.25);
});

test.run();
