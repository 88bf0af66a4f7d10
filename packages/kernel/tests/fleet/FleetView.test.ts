import { FleetView, type PeerHeartbeat } from "@pistachioway/kernel";
import { suite } from "uvu";
import * as assert from "uvu/assert";

const test = suite("FleetView");

function createHeartbeat(changes: Partial<PeerHeartbeat> = {}): PeerHeartbeat {
  return {
    name: "d-2",
    address: "10.0.0.2:9",
    operations: "10.0.0.2:8",
    incarnation: 1,
    version: 4,
    ageMilliseconds: 500,
    running: {},
    sentAt: 0,
    leaving: [],
    resting: [],
    ...changes,
  };
}

test("collects addresses from seeds and heartbeats, except its own", () => {
  const view = FleetView.create("10.0.0.1:9", ["10.0.0.1:9", "10.0.0.2:9"]);
  view.addHeartbeat(createHeartbeat({ address: "10.0.0.3:9" }), 0);
  view.addHeartbeat(createHeartbeat({ address: "10.0.0.1:9" }), 0);
  assert.equal(view.getAddresses(), ["10.0.0.2:9", "10.0.0.3:9"]);
});

test("adds up the requests of live daemons, by upstream", () => {
  const view = FleetView.create("10.0.0.1:9", []);
  view.addHeartbeat(createHeartbeat({ running: { "e-1": 2 } }), 0);
  view.addHeartbeat(
    createHeartbeat({ address: "10.0.0.3:9", running: { "e-1": 3, "e-2": 1 } }),
    2_000,
  );
  assert.equal(Object.fromEntries(view.getRunningCounts(2_000)), { "e-1": 5, "e-2": 1 });
  assert.equal(Object.fromEntries(view.getRunningCounts(3_000)), { "e-1": 3, "e-2": 1 });
});

test("ignores a heartbeat of an older incarnation", () => {
  const view = FleetView.create("10.0.0.1:9", []);
  view.addHeartbeat(createHeartbeat({ incarnation: 2, running: { "e-1": 1 } }), 0);
  view.addHeartbeat(createHeartbeat({ incarnation: 1, running: { "e-1": 9 } }), 1);
  assert.equal(Object.fromEntries(view.getRunningCounts(2)), { "e-1": 1 });
});

test("keeps the peak daemon count during a partition, so that retry budgets do not grow", () => {
  const view = FleetView.create("10.0.0.1:9", []);
  view.addHeartbeat(createHeartbeat(), 0);
  view.addHeartbeat(createHeartbeat({ address: "10.0.0.3:9" }), 0);
  assert.is(view.getLiveHeartbeats(10_000).length, 0);
  assert.is(view.getPeakDaemonCount(), 3);
});

test("gets the live daemon whose configuration was most recently known to be the newest", () => {
  const view = FleetView.create("10.0.0.1:9", []);
  view.addHeartbeat(createHeartbeat({ name: "older", address: "a", ageMilliseconds: 900 }), 2_000);
  view.addHeartbeat(createHeartbeat({ name: "fresh", address: "b" }), 2_000);
  view.addHeartbeat(
    createHeartbeat({ name: "old", address: "c", version: 3, ageMilliseconds: 1 }),
    2_000,
  );
  view.addHeartbeat(createHeartbeat({ name: "lost", address: "d", ageMilliseconds: 1 }), 0);
  view.addHeartbeat(
    createHeartbeat({ name: "empty", address: "e", version: -1, ageMilliseconds: 1 }),
    2_000,
  );
  const names = [4, -1, 5].map((version) => view.getFreshestPeer(3_000, version)?.name);
  assert.equal(names, ["fresh", "old", undefined]);
});

test.run();
