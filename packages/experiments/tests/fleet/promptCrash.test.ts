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

/** Sends one chat that crashes engines to the daemons in turn, and gets how many engines ended. */
async function countCrashes(hasSoundChats: boolean): Promise<number> {
  const fleet = await Fleet.start(layout);
  const caller = Caller.create("routes");
  await Promise.all(layout.engines.map(({ name }) => fleet.setFaults(name, { crashText })));
  const send = (daemon: string, chat: string, message: string) =>
    caller
      .sendChat(fleet.getDaemonOrThrow(daemon).callers, {
        chat,
        message,
        tokens: 5,
        isStream: true,
      })
      .catch(() => undefined);
  for (let index = 0; index < requestCount; index += 1) {
    void send(index % 2 === 0 ? "d1" : "d2", "c1", `say ${crashText}`);
    await delay(requestIntervalMilliseconds);
    if (hasSoundChats) {
      await Promise.all(["d1", "d2"].map((daemon) => send(daemon, `s-${daemon}`, "say yes")));
    }
  }
  const states = await Promise.allSettled(
    layout.engines.map(({ name }) => fleet.callStandin(name, "GET", "records")),
  );
  const served = await send("d1", "c2", "say yes");
  await caller.close();
  await fleet.stop();
  assert.is(served?.status, 200);
  const crashes = states.filter(({ status }) => status === "rejected").length;
  console.log(`${String(crashes)} of ${String(engineCount)} engines crashed`);
  assert.ok(crashes >= 3, "no engine crashed");
  return crashes;
}

// Guards against the cause of incident inc1 in the product's own interface.
test("a chat that has crashed five engines is sent to at most three more", async () => {
  const crashes = await countCrashes(false);
  assert.ok(crashes <= maxCrashes, `${String(crashes)} engines crashed`);
});

// The same while other chats are served, as in the incident.
test("a chat that crashes engines beside sound ones is sent to at most three more after five", async () => {
  const crashes = await countCrashes(true);
  assert.ok(crashes <= maxCrashes, `${String(crashes)} engines crashed`);
});

test.run();
