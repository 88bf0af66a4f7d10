import { suite } from "uvu";
import * as assert from "uvu/assert";
import { coldStart, ColdSimulation, mostInSecond } from "./ColdSimulation.js";
import { createRandom } from "./deployments.js";

const test = suite("cold upstreams before a fleet");

const zone = "north-0";
const seeds = [1, 2, 3];
const settlingMilliseconds = 6_000;
const downMilliseconds = 5_000;

/** A fleet as it is in use, and three times its usual load: 28 daemons before 78 engines in three zones. */
function create(seed: number): ColdSimulation {
  const simulation = ColdSimulation.create({
    daemons: 28,
    zones: 3,
    upstreams: 78,
    rate: 2_200,
    getRandom: createRandom(seed),
  });
  simulation.run(settlingMilliseconds);
  return simulation;
}

/** Plays a zone that is lost and returns cold, and checks the bound at each of its upstreams. */
function assertBound(play: (simulation: ColdSimulation, seed: number) => void): void {
  const most = seeds.map((seed) => {
    const simulation = create(seed);
    play(simulation, seed);
    assert.ok(simulation.getColdCount() > 0);
    return simulation.getMostInSecond();
  });
  assert.ok(Math.max(...most) <= mostInSecond, most.join(" "));
}

function loseAndReturn(simulation: ColdSimulation): void {
  simulation.stopZone(zone);
  simulation.run(downMilliseconds);
  simulation.startZone(zone);
  simulation.run(coldStart.milliseconds + 500);
}

// Guards against upstreams that crash again because each daemon sends them its usual requests as soon as they are back.
test("a whole zone that returns cold gets no more than it tolerates, at three times the usual load", () => {
  assertBound(loseAndReturn);
});

test("a cold upstream is used at no less than half of its rate and no more than all of it", () => {
  const simulation = create(1);
  loseAndReturn(simulation);
  const used = simulation.getColdCount() / 26 / (coldStart.milliseconds / 1_000);
  const rate = coldStart.requestsPerSecond;
  assert.ok(used >= rate / 2 && used <= rate * 1.05, String(used));
});

// Guards against daemons that were idle and send all at once in slots that they have not used.
test("the bound holds when all daemons were idle and then have requests at the same moment", () => {
  assertBound((simulation) => {
    simulation.rate = 0;
    simulation.stopZone(zone);
    simulation.run(downMilliseconds);
    simulation.startZone(zone);
    simulation.run(1_300);
    simulation.sendToAll(200);
    simulation.rate = 5_000;
    simulation.run(2_000);
  });
});

// Guards against slots of all daemons that lie close together where their views differ.
test("the bound holds when the daemons' positions are not agreed on", () => {
  assertBound((simulation, seed) => {
    const getRandom = createRandom(seed + 100);
    const positions = simulation.daemons.map(() => getRandom());
    simulation.changeShare = (daemon, share) => ({ ...share, position: positions[daemon] ?? 0 });
    loseAndReturn(simulation);
  });
});

test("the bound holds when the fleet is split before the zone is lost and stays so", () => {
  assertBound((simulation) => {
    simulation.fleet.isCut = (from, to) => from !== to;
    simulation.run(settlingMilliseconds);
    loseAndReturn(simulation);
  });
});

// Guards against daemons that each see only themselves, take the first place, and send at the same moment.
test("the bound holds when no daemon reaches another", () => {
  assertBound((simulation) => {
    simulation.fleet.isCut = () => true;
    simulation.run(settlingMilliseconds);
    loseAndReturn(simulation);
  });
});

// Guards against a daemon that learns of the restart by its own path only and takes the upstream for warm.
test("the bound holds while half of the daemons cannot read the registry", () => {
  assertBound((simulation) => {
    simulation.daemons.forEach((daemon, index) => {
      daemon.isRegistryCut = index % 2 === 0;
    });
    loseAndReturn(simulation);
  });
});

test("the bound holds when the zone's hosts hang while they are down, and the registry cannot be read", () => {
  assertBound((simulation) => {
    simulation.isSilent = true;
    simulation.daemons.forEach((daemon) => {
      daemon.isRegistryCut = true;
    });
    loseAndReturn(simulation);
  });
});

// Guards against a restart that most daemons miss, since they sent nothing while the upstream was away.
test("the bound holds after a restart within 300 ms, at the usual load and with daemons in all zones", () => {
  assertBound((simulation) => {
    simulation.rate = 760;
    simulation.isZoneSpread = true;
    simulation.run(1_000);
    simulation.stopZone(zone);
    simulation.run(300);
    simulation.startZone(zone);
    simulation.run(coldStart.milliseconds);
  });
});

test("the bound holds when daemons start in the middle", () => {
  assertBound((simulation) => {
    simulation.stopZone(zone);
    simulation.run(downMilliseconds);
    simulation.startZone(zone);
    for (let daemon = 0; daemon < 6; daemon += 1) {
      simulation.restart(daemon);
      simulation.run(500);
    }
  });
});

test("the bound holds when the zone restarts again while it is cold", () => {
  assertBound((simulation) => {
    loseAndReturn(simulation);
    simulation.stopZone(zone);
    simulation.run(600);
    simulation.startZone(zone);
    simulation.run(1_500);
    simulation.stopZone(zone);
    simulation.run(600);
    simulation.startZone(zone);
    simulation.run(coldStart.milliseconds);
  });
});

test.run();
