import fc from "fast-check";
import { suite } from "uvu";
import * as assert from "uvu/assert";
import {
  FencingRangeError,
  getFencingToken,
  isLoadOrder,
  type OrderGuard,
} from "@pistachioway/kernel";
import { getRevisionFencing, OrderFleet } from "./OrderFleet.js";

const test = suite("ordersPlugin");

function createRunning(guards: readonly OrderGuard[] = [], loadsPerMinute?: number): OrderFleet {
  const fleet = OrderFleet.create(guards, loadsPerMinute);
  fleet.publish();
  [0, 1, 2].forEach((index) => {
    fleet.sendConfiguration(index);
  });
  return fleet;
}

const describeAllEngines = (version: number): string[] =>
  ["e1", "e2", "e3", "e4"].map((name) => `${name} brief ${String(version)} routes`);

test("combines generation and revision into one increasing fencing token", () => {
  const positions = [
    { generation: 1, revision: 0 },
    { generation: 1, revision: 4294967295 },
    { generation: 2, revision: 0 },
  ];
  assert.equal(positions.map(getFencingToken), [4294967296, 8589934591, 8589934592]);
  assert.throws(
    () => getFencingToken({ generation: 2 ** 21, revision: 1 }),
    (error: unknown) => error instanceof FencingRangeError,
  );
});

test("one daemon of the engine's zone brings each engine to its configuration", () => {
  const fleet = createRunning();
  fleet.advance(100);
  assert.equal(fleet.describe(), describeAllEngines(1));
  const senders = fleet.sent.map(({ daemon, engine }) => `${engine} by ${daemon}`);
  const zones = new Set(fleet.sent.map(({ daemon }) => daemon));
  assert.equal([new Set(senders).size, zones.has("d2")], [4, false]);
});

function countOwnEngines(guards: readonly OrderGuard[]): number {
  return createRunning(guards).states.reduce((sum, { ownEngines }) => sum + ownEngines.length, 0);
}

test("each engine has one owner; without order-owner every daemon owns it", () => {
  assert.equal([countOwnEngines([]), countOwnEngines(["order-owner"])], [4, 12]);
});

/** Runs the daemons against an engine that another daemon has brought to a newer revision. */
function runWithOutdatedOwner(guards: readonly OrderGuard[]): string[] {
  const fleet = createRunning(guards);
  fleet.advance(100);
  fleet.publish();
  fleet.isPlatformDown = true;
  const { state } = fleet.engines.get("e3") ?? { state: undefined };
  fleet.engines.set("e3", {
    checksFencing: false,
    state: {
      ...(state ?? { role: "serve" }),
      fencing: getRevisionFencing(2),
      models: [{ name: "brief", version: "2", adapters: ["routes"], state: "ready" }],
    },
  });
  fleet.advance(100);
  return fleet.describe().filter((line) => line.startsWith("e3"));
}

test("a daemon with an old revision sends no orders to an engine with a newer one", () => {
  assert.equal(runWithOutdatedOwner([]), ["e3 brief 2 routes"]);
  assert.equal(runWithOutdatedOwner(["order-carried-fencing", "order-confirmed"]), [
    "e3 brief 1 routes",
  ]);
});

function countUnconfirmed(guards: readonly OrderGuard[]): number {
  const fleet = createRunning(guards);
  fleet.isPlatformDown = true;
  fleet.advance(100);
  return fleet.sent.filter(({ engine }) => engine !== "e2").length;
}

test("an engine that does not check fencing tokens gets orders only after a recent confirmation", () => {
  assert.equal([countUnconfirmed([]), countUnconfirmed(["order-confirmed"]) > 0], [0, true]);
});

function sendOlderConfiguration(guards: readonly OrderGuard[]): number | undefined {
  const fleet = createRunning(guards);
  fleet.sendConfiguration(0, 0);
  return fleet.states[0]?.inForce?.revision.revision;
}

test("an older configuration does not replace the newest", () => {
  assert.equal([sendOlderConfiguration([]), sendOlderConfiguration(["order-newest"])], [1, 0]);
});

function countLoads(guards: readonly OrderGuard[]): number {
  const fleet = createRunning(guards, 4);
  for (let publication = 0; publication < 15; publication += 1) {
    fleet.publish();
    [0, 1, 2].forEach((index) => {
      fleet.sendConfiguration(index, undefined, fleet.now);
    });
    fleet.advance(200);
  }
  return fleet.sent.filter(({ order }) => isLoadOrder(order)).length;
}

test("loads stay within the weight store's rate", () => {
  const counts = [countLoads([]), countLoads(["order-load-rate"])];
  console.log(`loads in 5 minutes at 4 per minute, 60 without a limit: ${counts.join(", ")}`);
  // Each daemon may exceed its share by one load.
  const [guarded = 0, unguarded = 0] = counts;
  assert.equal([guarded >= 15, guarded <= 23, unguarded], [true, true, 60]);
});

function convergesAfter(events: readonly { kind: number; index: number }[]): boolean {
  const fleet = createRunning();
  for (const { kind, index } of events) {
    const steps: (() => void)[] = [
      () => {
        fleet.publish();
      },
      () => {
        fleet.isPlatformDown = !fleet.isPlatformDown;
      },
      () => {
        fleet.sendConfiguration(index);
      },
      () => {
        fleet.performNext(index, true);
      },
      () => {
        fleet.now += 400 * (kind % 4);
        fleet.send(index, { kind: "tick" });
      },
    ];
    const step = steps[kind];
    if (step === undefined) {
      fleet.performNext(index);
    } else {
      step();
    }
  }
  const checked = fleet.sent.filter(({ engine }) => engine === "e2");
  const isRising = checked.every(
    ({ order }, at) => order.fencing >= (checked[at - 1]?.order.fencing ?? 0),
  );
  fleet.isPlatformDown = false;
  fleet.publish();
  [0, 1, 2].forEach((index) => {
    fleet.sendConfiguration(index);
  });
  fleet.advance(200);
  return isRising && fleet.describe().join() === describeAllEngines(fleet.revision).join();
}

test("engines converge despite lost, delayed and outdated messages; fencing tokens never decrease", () => {
  const event = fc.record({ kind: fc.nat(14), index: fc.nat(2) });
  const property = fc.property(fc.array(event, { minLength: 60, maxLength: 60 }), convergesAfter);
  fc.assert(property, { seed: 3, numRuns: 100 });
});

test.run();
