import { Caller, Fleet, type FleetLayout } from "@pistachioway/experiments";
import { setTimeout as delay } from "node:timers/promises";
import { suite } from "uvu";
import * as assert from "uvu/assert";

const engineCount = 12;
const crashText = "dead";
/** Engines that may end under one chat: five, and those of three further requests. */
const maxCrashes = 8;
const requestCount = 12;
const requestIntervalMilliseconds = 400;

const layout: FleetLayout = {
  daemons: [
    { name: "d1", zone: "north" },
    { name: "d2", zone: "south" },
  ],
  engines: Array.from({ length: engineCount }, (_, index) => ({
    name: `e${String(index + 1)}`,
    zone: index % 2 === 0 ? "north" : "south",
  })),
  services: [],
  teams: ["routes"],
};
const test = suite("chats that crash engines");

// Guards against the cause of incident inc1 in the product's own interface.
test("a chat that has crashed five engines is sent to at most three more", async () => {
  const fleet = await Fleet.start(layout);
  const caller = Caller.create("routes");
  await Promise.all(layout.engines.map(({ name }) => fleet.setFaults(name, { crashText })));
  const chat = { chat: "c1", message: `say ${crashText}`, tokens: 5, isStream: true };
  for (let index = 0; index < requestCount; index += 1) {
    const daemon = fleet.getDaemonOrThrow(index % 2 === 0 ? "d1" : "d2");
    void caller.sendChat(daemon.callers, chat).catch(() => undefined);
    await delay(requestIntervalMilliseconds);
  }
  const states = await Promise.allSettled(
    layout.engines.map(({ name }) => fleet.callStandin(name, "GET", "records")),
  );
  const crashes = states.filter(({ status }) => status === "rejected").length;
  const served = await caller.sendChat(fleet.getDaemonOrThrow("d1").callers, {
    ...chat,
    chat: "c2",
    message: "say yes",
  });
  await caller.close();
  await fleet.stop();
  console.log(`${String(crashes)} of ${String(engineCount)} engines crashed`);
  assert.ok(crashes >= 3, "no engine crashed");
  assert.ok(crashes <= maxCrashes, `${String(crashes)} engines crashed`);
  assert.is(served.status, 200);
});

test.run();
