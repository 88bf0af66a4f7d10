import { Caller, Fleet, type CallResult, type FleetLayout } from "@pistachioway/experiments";
import { setTimeout as delay } from "node:timers/promises";
import { suite } from "uvu";
import * as assert from "uvu/assert";

const hostCount = 12;
const crashText = "dead";
/** Hosts that may end under one call: three, and those of three further sends. */
const maxCrashes = 6;
const callCount = 12;
const callIntervalMilliseconds = 400;

const layout: FleetLayout = {
  daemons: [
    { name: "d1", zone: "north" },
    { name: "d2", zone: "south" },
  ],
  engines: [{ name: "e1", zone: "north" }],
  services: Array.from({ length: hostCount }, (_, index) => ({
    name: `h${String(index + 1)}`,
    service: "booking",
    zone: index % 2 === 0 ? "north" : "south",
  })),
  teams: ["routes"],
};
const test = suite("calls that crash service hosts");

/** Sends one call that crashes hosts to the daemons in turn, beside sound ones, and gets how many hosts ended. */
async function countCrashes(
  sendCall: (caller: Caller, address: string, path: string) => Promise<CallResult>,
): Promise<number> {
  const fleet = await Fleet.start(layout);
  const caller = Caller.create("routes");
  await Promise.all(layout.services.map(({ name }) => fleet.setFaults(name, { crashText })));
  const send = (daemon: string, path: string) =>
    sendCall(caller, fleet.getDaemonOrThrow(daemon).callers, path);
  for (let index = 0; index < callCount; index += 1) {
    void send(index % 2 === 0 ? "d1" : "d2", `booking/lookups/${crashText}`);
    await delay(callIntervalMilliseconds);
    await send("d1", `booking/lookups/${String(index)}`);
  }
  const states = await Promise.allSettled(
    layout.services.map(({ name }) => fleet.callStandin(name, "GET", "records")),
  );
  const served = await send("d1", "booking/lookups/last");
  await caller.close();
  await fleet.stop();
  assert.is(served.status, 200);
  const crashes = states.filter(({ status }) => status === "rejected").length;
  console.log(`${String(crashes)} of ${String(hostCount)} hosts crashed`);
  assert.ok(crashes >= 3, "no host crashed");
  return crashes;
}

// Guards against the cause of issue 27, BUDGET, in the product's own interface.
test("a read that has crashed three hosts of a service is sent to at most three more", async () => {
  const crashes = await countCrashes((caller, address, path) => caller.readService(address, path));
  assert.ok(crashes <= maxCrashes, `${String(crashes)} hosts crashed`);
});

// The same for calls that run at most once: each comes under a key of its own.
test("an act that has crashed three hosts of a service is sent to at most three more", async () => {
  const crashes = await countCrashes((caller, address, path) => caller.sendAct(address, path));
  assert.ok(crashes <= maxCrashes, `${String(crashes)} hosts crashed`);
});

test.run();
