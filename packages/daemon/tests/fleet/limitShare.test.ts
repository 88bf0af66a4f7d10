import { suite } from "uvu";
import * as assert from "uvu/assert";
import { createRandom, largeFleet, smallFleet, type FleetDeployment } from "./deployments.js";
import { LimitSimulation } from "./LimitSimulation.js";

const test = suite("limit of an upstream over a fleet");

const windowMilliseconds = 4_000;
const settlingMilliseconds = 8_000;
const measuredMilliseconds = 16_000;
const millisecondsPerSecond = 1_000;

interface Deployment extends FleetDeployment {
  readonly rate: number;
}

const deployments: readonly Deployment[] = [
  { ...smallFleet, rate: 150 },
  { ...largeFleet, rate: 600 },
];

/** Limits in requests a second: small ones, which leave a daemon less than one in its window, and larger ones. */
const limits = [1.5, 5, 20];

function create(deployment: Deployment, seed: number, loss = 0.05): LimitSimulation {
  const simulation = LimitSimulation.create({ ...deployment, loss, getRandom: createRandom(seed) });
  simulation.fleet.isEncoded = deployment.daemons < 10;
  simulation.run(settlingMilliseconds);
  return simulation;
}

/** Half more than the limit allows, and five. */
function getBound(limitPerSecond: number): number {
  return (1.5 * limitPerSecond * windowMilliseconds) / millisecondsPerSecond + 5;
}

/** Plays a fleet for each limit and seed, and checks the bound from the end of the stable window on. */
function assertBound(
  deployment: Deployment,
  play: (simulation: LimitSimulation) => void,
  loss = 0.05,
): void {
  for (const limitPerSecond of limits) {
    for (const seed of deployment.seeds) {
      const simulation = create(deployment, seed, loss);
      simulation.limitPerSecond = limitPerSecond;
      const from = simulation.now + deployment.stableWindowMilliseconds;
      play(simulation);
      const most = simulation.getMostInWindow(from, windowMilliseconds);
      const bound = getBound(limitPerSecond);
      assert.ok(most <= bound, `${String(most)} of ${String(bound)}, seed ${String(seed)}`);
      assert.is(simulation.servedCount, simulation.sentCount);
    }
  }
}

for (const deployment of deployments) {
  const count = String(deployment.daemons);

  test(`${count} daemons keep to the limit, and use at least half of it`, () => {
    assertBound(deployment, (simulation) => {
      simulation.run(measuredMilliseconds);
      const since = simulation.now - measuredMilliseconds / 2;
      const used = simulation.arrivals.filter(({ at }) => at >= since).length;
      const allowed =
        ((simulation.limitPerSecond ?? 0) * measuredMilliseconds) / 2 / millisecondsPerSecond;
      assert.ok(used >= allowed / 2, `${String(used)} of ${String(allowed)}`);
    });
  });

  test(`${count} daemons keep to it although a fifth of the datagrams is lost`, () => {
    assertBound(
      deployment,
      (simulation) => {
        simulation.run(measuredMilliseconds);
      },
      0.2,
    );
  });

  test(`${count} daemons keep to it although a zone is cut off and comes back`, () => {
    assertBound(deployment, (simulation) => {
      simulation.run(1_000);
      simulation.fleet.isCut = (from, to) => (from === "north-1") !== (to === "north-1");
      simulation.run(8_000);
      simulation.fleet.isCut = () => false;
      simulation.run(8_000);
    });
  });

  test(`${count} daemons keep to it although two in five restart one after the other`, () => {
    assertBound(deployment, (simulation) => {
      const restarted = Math.floor(deployment.daemons * 0.4);
      for (let index = 0; index < restarted; index += 1) {
        simulation.run(measuredMilliseconds / restarted);
        simulation.restart(index);
      }
      simulation.run(8_000);
    });
  });

  test(`${count} daemons keep to it when much comes at once after a quiet time`, () => {
    assertBound(deployment, (simulation) => {
      simulation.run(2_000);
      simulation.rate = deployment.rate / 50;
      simulation.run(12_000);
      simulation.rate = deployment.rate * 3;
      simulation.run(6_000);
    });
  });

  test(`${count} daemons use the upstream again soon after its limit is lifted`, () => {
    const simulation = create(deployment, 1);
    simulation.limitPerSecond = 5;
    simulation.run(measuredMilliseconds);
    simulation.limitPerSecond = undefined;
    simulation.run(deployment.stableWindowMilliseconds);
    const before = simulation.arrivals.length;
    simulation.run(2_000);
    const used = simulation.arrivals.length - before;
    assert.ok(used >= deployment.rate, `${String(used)} of ${String(2 * deployment.rate)}`);
  });
}

test.run();
