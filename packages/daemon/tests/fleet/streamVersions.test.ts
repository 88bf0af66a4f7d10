import { suite } from "uvu";
import * as assert from "uvu/assert";
import { createRandom, largeFleet, smallFleet, type FleetDeployment } from "./deployments.js";
import { StreamSimulation } from "./StreamSimulation.js";

const test = suite("software versions of streams over a fleet");

/** Streams that may go on at another version, on a whole day. */
const maxMixed = 2;
const settlingMilliseconds = 35_000;
const longestStreamMilliseconds = 9_000;
const measuredMilliseconds = 20_000;
/** Share of the streams that are taken up without a kill and must go on. */
const minResumedShare = 0.9;
/** The same with kills, cuts and loss: half of the share of new streams that begin. */
const minHarmedShare = 0.5;

/** A question to three daemons, once repeated, and their answers. */
const maxDatagramsPerTakeUp = 12;

interface Deployment extends FleetDeployment {
  readonly rate: number;
}

const deployments: readonly Deployment[] = [
  { ...smallFleet, rate: 120 },
  { ...largeFleet, rate: 460 },
];

/** Creates a fleet that has served one version for longer than streams last. */
function create(deployment: Deployment, seed: number, loss = 0.03): StreamSimulation {
  const getRandom = createRandom(seed);
  const simulation = StreamSimulation.create({ ...deployment, breakRatio: 0.05, loss, getRandom });
  simulation.fleet.isEncoded = false;
  simulation.setVersions(["v1"]);
  simulation.fleet.run(settlingMilliseconds - 5_000);
  simulation.run(5_000);
  return simulation;
}

/** Restarts daemons one after the other while streams run. */
function restartInTurn(simulation: StreamSimulation, count: number): void {
  for (let index = 0; index < count; index += 1) {
    simulation.run(measuredMilliseconds / count);
    simulation.restart(index);
  }
}

for (const deployment of deployments) {
  const name = `${String(deployment.daemons)} daemons`;

  /** Plays a fleet for each seed, and checks both bounds. */
  const assertHolds = (
    scenario: string,
    minShare: number,
    play: (simulation: StreamSimulation) => void,
    loss?: number,
  ): void => {
    for (const seed of deployment.seeds) {
      const simulation = create(deployment, seed, loss);
      const from = simulation.now;
      play(simulation);
      const share = simulation.getResumedShare(from);
      console.log(
        `${name}, ${scenario}, seed ${String(seed)}: ${String(simulation.takeUps.length)} taken up, ` +
          `${share.toFixed(3)} went on, ${String(simulation.countMixed())} at another version, ` +
          `${(simulation.keepCount / simulation.begunCount).toFixed(2)} datagrams a stream`,
      );
      assert.ok(simulation.takeUps.length >= 12, "too few streams taken up");
      assert.ok(simulation.countMixed() <= maxMixed, `${String(simulation.countMixed())} mixed`);
      assert.ok(share >= minShare, `${share.toFixed(3)} went on`);
    }
  };

  test(`${name}: streams of two versions go on at their own`, () => {
    assertHolds("two versions", minResumedShare, (simulation) => {
      simulation.setVersions(["v1", "v2"]);
      simulation.run(measuredMilliseconds);
    });
  });

  test(`${name}: without the guard they go on at any`, () => {
    const simulation = create(deployment, 1);
    simulation.isGuarded = false;
    simulation.setVersions(["v1", "v2"]);
    simulation.run(measuredMilliseconds);
    assert.ok(simulation.countMixed() > maxMixed);
  });

  test(`${name}: one version alone costs nothing but the questions of those that are taken up`, () => {
    for (const seed of deployment.seeds) {
      const simulation = create(deployment, seed);
      const from = simulation.now;
      const sentBefore = simulation.keepCount;
      const begunBefore = simulation.begunCount;
      restartInTurn(simulation, 2);
      simulation.run(5_000);
      assert.ok(simulation.getResumedShare(from) >= minResumedShare);
      // Daemons that have just started may send until they have read the registry's list.
      const perStream = (simulation.keepCount - sentBefore) / (simulation.begunCount - begunBefore);
      assert.ok(perStream < 0.1, `${perStream.toFixed(2)} datagrams a stream`);
      const perTakeUp = simulation.askCount / simulation.takeUps.length;
      assert.ok(perTakeUp <= maxDatagramsPerTakeUp, `${perTakeUp.toFixed(1)} a take-up`);
    }
  });

  test(`${name}: they go on although two in five daemons restart meanwhile, one after the other`, () => {
    assertHolds("restarts", minHarmedShare, (simulation) => {
      simulation.setVersions(["v1", "v2"]);
      restartInTurn(simulation, Math.ceil(deployment.daemons * 0.4));
    });
  });

  test(`${name}: they do so although a fifth of the datagrams is lost`, () => {
    assertHolds(
      "loss",
      minHarmedShare,
      (simulation) => {
        simulation.setVersions(["v1", "v2"]);
        restartInTurn(simulation, Math.ceil(deployment.daemons * 0.2));
      },
      0.2,
    );
  });

  test(`${name}: none goes on at another version while engines of one replace the other and daemons restart`, () => {
    assertHolds("replacement", minHarmedShare, (simulation) => {
      simulation.run(1_000);
      simulation.setVersions(["v1", "v2"]);
      restartInTurn(simulation, 2);
      simulation.setVersions(["v2"]);
      restartInTurn(simulation, 2);
    });
  });

  test(`${name}: none does in a zone that is cut off while the versions change, nor after it is back`, () => {
    for (const seed of deployment.seeds) {
      const simulation = create(deployment, seed);
      simulation.fleet.isCut = (from, to) => (from === "north-1") !== (to === "north-1");
      simulation.isCutFromRegistry = (zone) => zone === "north-1";
      simulation.run(500);
      simulation.setVersions(["v1", "v2"]);
      simulation.run(6_000);
      simulation.setVersions(["v2"]);
      simulation.run(6_000);
      simulation.fleet.isCut = () => false;
      simulation.isCutFromRegistry = () => false;
      const healedAt = simulation.now;
      simulation.run(measuredMilliseconds);
      const share = simulation.getResumedShare(healedAt + deployment.stableWindowMilliseconds);
      console.log(
        `${name}, cut, seed ${String(seed)}: ${String(simulation.countMixed())} at another version, ` +
          `${share.toFixed(3)} went on after it`,
      );
      assert.ok(simulation.countMixed() <= maxMixed, `${String(simulation.countMixed())} mixed`);
      assert.ok(share >= minResumedShare, `${share.toFixed(3)} went on`);
    }
  });

  test(`${name}: after a restart of all none goes on at another version`, () => {
    for (const seed of deployment.seeds) {
      const simulation = create(deployment, seed);
      simulation.setVersions(["v1", "v2"]);
      simulation.run(5_000);
      simulation.fleet.members.forEach((_, index) => {
        simulation.restart(index);
      });
      const restartedAt = simulation.now;
      simulation.run(measuredMilliseconds);
      const from = restartedAt + deployment.stableWindowMilliseconds;
      const share = simulation.getResumedShare(from + longestStreamMilliseconds);
      assert.ok(simulation.countMixed() <= maxMixed, `${String(simulation.countMixed())} mixed`);
      assert.ok(share >= minResumedShare, `${share.toFixed(3)} went on`);
    }
  });
}

test.run();
