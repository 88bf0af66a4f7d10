import type { Test } from "uvu";
import * as assert from "uvu/assert";
import { CrashSimulation, type CrashOptions } from "./CrashSimulation.js";
import { createRandom, largeFleet, smallFleet, type FleetDeployment } from "./deployments.js";

const maxLaterSends = 3;
const maxRefusedSoundShare = 0.02;
const settlingMilliseconds = 8_000;
const stormMilliseconds = 20_000;
/** Time after the end of a quarantine in which the content is tried again. */
const retriedMilliseconds = 60_000;
/** Hashes that requests share: blocks that most prompts begin with, sessions, and requests that come again. */
const popularBlocks = { first: 1, count: 4 };
const crashingHash = 77;
const sessionBlocks = { first: 1_000, count: 200 };
const repeatedRequests = { first: 10_000, count: 100 };

interface Fault extends Omit<CrashOptions, "daemons" | "zones" | "loss" | "getRandom"> {
  /** Time between two crashes for other reasons. */
  readonly otherCrashMilliseconds: number;
}

interface Deployment extends FleetDeployment {
  readonly fault: Fault;
}

/** A kind of content that crashes upstreams. */
interface ContentKind {
  readonly name: string;
  /** Crash after whose stable window the bound holds. */
  readonly boundCrash: number;
  readonly deployments: readonly Deployment[];
}

/** Streams that are not repeated, at engines: their prompts share a block that crashes. */
const blockFault = {
  createCrashing: ({ createHash, pick }) => ({
    whole: createHash(),
    blocks: [
      pick(popularBlocks.first, popularBlocks.count),
      crashingHash,
      pick(sessionBlocks.first, sessionBlocks.count),
    ],
  }),
  createSound: ({ createHash, pick }) => ({
    whole: createHash(),
    blocks: [
      pick(popularBlocks.first, popularBlocks.count),
      pick(sessionBlocks.first, sessionBlocks.count),
    ],
  }),
  maxAttempts: 1,
  callerRepeats: 0,
  restartMilliseconds: 4_000,
  otherCrashMilliseconds: 400,
} as const satisfies Partial<Fault>;

/** Reads, which daemons and callers repeat, at a few servers: one comes again and crashes. */
const requestFault = {
  createCrashing: () => ({ whole: crashingHash, blocks: [] }),
  createSound: ({ createHash, pick }) => {
    const repeated = pick(repeatedRequests.first, repeatedRequests.count);
    return { whole: repeated % 2 === 0 ? repeated : createHash(), blocks: [] };
  },
  maxAttempts: 2,
  callerRepeats: 1,
  restartMilliseconds: 1_500,
} as const satisfies Partial<Fault>;

const kinds: readonly ContentKind[] = [
  {
    name: "prompt block",
    boundCrash: 5,
    deployments: [
      {
        ...smallFleet,
        fault: { ...blockFault, upstreams: 13, crashingRate: 2, soundRate: 120 },
      },
      {
        ...largeFleet,
        fault: { ...blockFault, upstreams: 82, crashingRate: 8, soundRate: 400 },
      },
    ],
  },
  {
    name: "request",
    boundCrash: 3,
    deployments: [
      {
        ...smallFleet,
        fault: {
          ...requestFault,
          upstreams: 3,
          crashingRate: 6,
          soundRate: 40,
          otherCrashMilliseconds: 3_000,
        },
      },
      {
        ...largeFleet,
        fault: {
          ...requestFault,
          upstreams: 12,
          crashingRate: 20,
          soundRate: 250,
          otherCrashMilliseconds: 800,
        },
      },
    ],
  },
];

function create(deployment: Deployment, seed: number, loss = 0.05): CrashSimulation {
  const { daemons, zones, fault } = deployment;
  const getRandom = createRandom(seed);
  const simulation = CrashSimulation.create({ ...fault, daemons, zones, loss, getRandom });
  simulation.fleet.isEncoded = deployment.daemons < 10;
  simulation.fleet.run(settlingMilliseconds);
  return simulation;
}

/** Gets how many daemons refuse requests with the crashing content. */
function countRefusing({ fleet, now }: CrashSimulation): number {
  const content = { whole: crashingHash, blocks: [crashingHash] };
  return fleet.members.filter(
    ({ quarantine }) => quarantine.findQuarantined(content, now) !== undefined,
  ).length;
}

/** Gets when the first daemon may send the crashing content again, if nothing else changes. */
function getFirstQuarantineEnd({ fleet, now }: CrashSimulation): number {
  const content = { whole: crashingHash, blocks: [crashingHash] };
  const ends = fleet.members.map(
    ({ quarantine }) => quarantine.findQuarantined(content, now)?.endsAt ?? now,
  );
  return Math.min(...ends);
}

/**
 * Adds the tests of one kind of content in fleets of one size to a suite.
 * @param test - The suite.
 * @param kindName - Name of the kind of content.
 * @param daemons - Number of daemons.
 */
export function addQuarantineTests(
  test: Test,
  kindName: "prompt block" | "request",
  daemons: number,
): void {
  for (const kind of kinds.filter((each) => each.name === kindName)) {
    for (const deployment of kind.deployments.filter((each) => each.daemons === daemons)) {
      addTests(test, kind, deployment);
    }
  }
}

function addTests(test: Test, kind: ContentKind, deployment: Deployment): void {
  const name = `${String(deployment.daemons)} daemons, ${kind.name}`;

  const getBoundStart = ({ crashes }: CrashSimulation): number =>
    (crashes[kind.boundCrash - 1] ?? Infinity) + deployment.stableWindowMilliseconds;

  const assertHolds = (
    simulation: CrashSimulation,
    isCounted?: (daemon: number) => boolean,
  ): void => {
    const later = simulation.countSent(getBoundStart(simulation), isCounted);
    const { sent, refused } = simulation.sound;
    assert.ok(simulation.crashes.length >= 3, "no storm");
    assert.ok(later <= maxLaterSends, `${String(later)} of ${String(simulation.sent.length)}`);
    assert.ok(
      refused <= sent * maxRefusedSoundShare,
      `${String(refused)} of ${String(sent)} refused`,
    );
  };

  test(`${name}: it is no longer sent after its crashes, and no sound request is refused`, () => {
    for (const seed of deployment.seeds) {
      const simulation = create(deployment, seed);
      simulation.run(stormMilliseconds);
      const { crashes, sound } = simulation;
      console.log(
        `${name}, seed ${String(seed)}: ${String(crashes.length)} crashes, ` +
          `${String(sound.refused)} of ${String(sound.sent)} sound requests refused`,
      );
      assertHolds(simulation);
    }
  });

  test(`${name}: without the quarantine it goes on`, () => {
    const simulation = create(deployment, 1);
    simulation.isGuarded = false;
    simulation.run(stormMilliseconds);
    assert.ok(simulation.countSent(getBoundStart(simulation)) > maxLaterSends);
  });

  test(`${name}: the same although a fifth of the datagrams is lost`, () => {
    for (const seed of deployment.seeds) {
      const simulation = create(deployment, seed, 0.2);
      simulation.run(stormMilliseconds);
      assertHolds(simulation);
    }
  });

  test(`${name}: the same although a zone is cut off meanwhile, also after it is back`, () => {
    for (const seed of deployment.seeds) {
      const simulation = create(deployment, seed);
      simulation.run(500);
      simulation.fleet.isCut = (from, to) => (from === "north-1") !== (to === "north-1");
      simulation.run(8_000);
      simulation.fleet.isCut = () => false;
      simulation.run(stormMilliseconds);
      assertHolds(simulation);
    }
  });

  test(`${name}: the same although two in five restart meanwhile and later, one after the other`, () => {
    for (const seed of deployment.seeds) {
      const simulation = create(deployment, seed);
      const restartedAt = new Map<number, number>();
      for (let index = 0; index < deployment.daemons * 0.4; index += 1) {
        simulation.run(stormMilliseconds / deployment.daemons);
        simulation.fleet.restart([index]);
        restartedAt.set(index, simulation.now);
      }
      simulation.run(stormMilliseconds);
      const inTouch = simulation.sent.filter(
        ({ at, daemon }) =>
          at > (restartedAt.get(daemon) ?? -Infinity) + deployment.stableWindowMilliseconds,
      );
      const from = getBoundStart(simulation);
      const later = inTouch.filter(({ at }) => at > from).length;
      assert.ok(later <= maxLaterSends, `${String(later)} sends`);
      assertHolds(simulation, (daemon) => !restartedAt.has(daemon));
    }
  });

  test(`${name}: daemons that start only after the crashes send no more than the others`, () => {
    for (const seed of deployment.seeds) {
      const simulation = create(deployment, seed);
      const late = simulation.fleet.members.slice(0, Math.ceil(deployment.daemons / 5));
      late.forEach((member) => {
        member.isRunning = false;
      });
      simulation.run(8_000);
      simulation.fleet.restart(late.map((_, index) => index));
      const startedAt = simulation.now;
      simulation.run(stormMilliseconds);
      const from = getBoundStart(simulation);
      const inTouchFrom = startedAt + deployment.stableWindowMilliseconds;
      const inTouch = simulation.sent.filter(
        ({ at, daemon }) => at > from && (daemon >= late.length || at > inTouchFrom),
      );
      assert.ok(inTouch.length <= maxLaterSends, `${String(inTouch.length)} sends`);
      assertHolds(simulation, (daemon) => daemon >= late.length);
    }
  });

  test(`${name}: all daemons that restart at once learn of it again, and then stop sending it`, () => {
    for (const seed of deployment.seeds) {
      const simulation = create(deployment, seed);
      simulation.run(stormMilliseconds);
      const first = simulation.crashes.length;
      simulation.fleet.restart(simulation.fleet.members.map((_, index) => index));
      const restartedAt = simulation.now;
      simulation.run(stormMilliseconds);
      const again = simulation.crashes.length - first;
      const from = Math.max(
        restartedAt + deployment.stableWindowMilliseconds,
        (simulation.crashes[first + kind.boundCrash - 1] ?? -Infinity) +
          deployment.stableWindowMilliseconds,
      );
      console.log(
        `${name}, seed ${String(seed)}: ${String(first)} crashes, ${String(again)} more after a restart of all`,
      );
      assert.ok(simulation.countSent(from) <= maxLaterSends);
    }
  });

  test(`${name}: what was in flight at 40 upstreams that crash for other reasons is served`, () => {
    for (const seed of deployment.seeds) {
      const simulation = create(deployment, seed);
      simulation.isStormy = false;
      simulation.run(2_000);
      for (let crash = 0; crash < 40; crash += 1) {
        simulation.run(deployment.fault.otherCrashMilliseconds);
        simulation.crashAny();
      }
      simulation.run(10_000);
      const { sent, refused } = simulation.sound;
      console.log(
        `${name}, seed ${String(seed)}: ${String(refused)} of ${String(sent)} refused beside 40 crashes`,
      );
      assert.is(simulation.crashes.length, 40);
      assert.ok(refused <= sent * maxRefusedSoundShare, `${String(refused)} of ${String(sent)}`);
    }
  });

  test(`${name}: once its quarantine is over it is tried, and not by all daemons at once`, () => {
    for (const seed of deployment.seeds) {
      const simulation = create(deployment, seed);
      simulation.run(5_000);
      simulation.isStormy = false;
      simulation.fleet.run(getFirstQuarantineEnd(simulation) - simulation.now);
      simulation.isStormy = true;
      const from = simulation.now;
      simulation.run(retriedMilliseconds);
      const tried = simulation.countSent(from);
      console.log(`${name}, seed ${String(seed)}: tried ${String(tried)} times`);
      assert.ok(tried >= 1 && tried <= maxLaterSends, `${String(tried)} sends`);
    }
  });

  test(`${name}: it is used again once an upstream has served it`, () => {
    const simulation = create(deployment, 1);
    simulation.run(stormMilliseconds);
    const [first] = simulation.fleet.members;
    assert.is(countRefusing(simulation), deployment.daemons);
    simulation.isCrashing = false;
    const content = { whole: crashingHash, blocks: [crashingHash] };
    first?.quarantine.recordSuccess(content, simulation.now);
    simulation.run(deployment.stableWindowMilliseconds);
    assert.is(countRefusing(simulation), 0);
  });
}
