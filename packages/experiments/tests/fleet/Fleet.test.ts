import {
  Caller,
  Fleet,
  getExpectedChatAnswer,
  readCompleteContent,
  type FleetLayout,
} from "@pistachioway/experiments";
import { suite } from "uvu";
import * as assert from "uvu/assert";

const layout: FleetLayout = {
  daemons: [
    { name: "d1", zone: "north" },
    { name: "d2", zone: "south" },
  ],
  engines: [{ name: "e1", zone: "north" }],
  services: [{ name: "booking-1", service: "booking", zone: "south" }],
  teams: ["routes"],
};
const chat = { chat: "c1", message: "what is on the round", tokens: 5 };
const test = suite("Fleet");

test("serves chats and acts through real processes, and stops them", async () => {
  const fleet = await Fleet.start(layout);
  const caller = Caller.create("routes");
  const address = fleet.getDaemonOrThrow("d1").callers;
  const whole = await caller.sendChat(address, { ...chat, isStream: false });
  const stream = await caller.sendChat(address, { ...chat, isStream: true });
  const act = await caller.sendAct(address, "booking/charges");
  const runs = await fleet.getRuns("booking-1");
  const daemon = fleet.getDaemonOrThrow("d2").process;
  daemon.signal("SIGTERM");
  const exitCode = await daemon.waitForExit();
  await caller.close();
  await fleet.stop();
  const expected = getExpectedChatAnswer("routes", { ...chat, isStream: false });
  assert.equal(
    {
      contents: [
        readCompleteContent({ ...chat, isStream: false }, whole.text),
        readCompleteContent({ ...chat, isStream: true }, stream.text),
      ],
      act: { status: act.status, outcome: act.outcome, runs: runs.length },
      exitCode,
      isRunning: fleet.getDaemonOrThrow("d1").process.isRunning(),
    },
    {
      contents: [expected, expected],
      act: { status: 200, outcome: "complete", runs: 1 },
      exitCode: 0,
      isRunning: false,
    },
  );
});

test.run();
