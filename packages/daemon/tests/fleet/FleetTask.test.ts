import { suite } from "uvu";
import * as assert from "uvu/assert";
import { FleetTask } from "@pistachioway/daemon";

const test = suite("fleet task");

function create(): FleetTask {
  return FleetTask.create({
    name: "d-1",
    address: "127.0.0.1:0",
    operations: "127.0.0.1:1",
    zone: "north",
    incarnation: 1,
    seeds: ["127.0.0.1:9"],
    getNow: () => performance.now(),
    getRandom: () => 0.5,
    getOwnState: () => ({
      version: 1,
      confirmedAt: 0,
      running: new Map(),
      unreachedServices: new Set(),
    }),
    getStandingNotices: () => [],
    onNotices: () => undefined,
    onStreamMessage: () => undefined,
    onRefused: () => undefined,
    onSkippedPart: () => undefined,
    onDroppedNotice: () => undefined,
    runTurn: (_task, turn) => {
      turn();
    },
    record: () => undefined,
  });
}

// Guards against a process that ends by itself because a stream that outlives its router's close tells its version.
test("a message after the stop is dropped", async () => {
  const fleet = create();
  await fleet.start();
  fleet.stop();
  assert.not.throws(() => {
    fleet.sendStreamMessage("127.0.0.1:9", { kind: "keep", id: "r-1", version: "v1" });
  });
});

test.run();
