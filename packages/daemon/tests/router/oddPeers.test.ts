import { encodeDatagram } from "@pistachioway/daemon";
import type { MemberState } from "@pistachioway/kernel";
import { createSocket } from "node:dgram";
import { setTimeout as delay } from "node:timers/promises";
import { suite } from "uvu";
import * as assert from "uvu/assert";
import {
  callProcess,
  setUpProcess,
  tearDownProcess,
  type ProcessContext,
} from "./ProcessContext.js";

const test = suite<ProcessContext>("states of daemons at addresses that cannot be");

/** Time in which more rounds of the fleet fail than a task may fail in a row. */
const playMilliseconds = 12_000;
const sendIntervalMilliseconds = 200;
const oddAddresses = ["127.0.0.9:70000", "127.0.0.9:0", "127.0.0.9", "a b:x", "\0:1"];

test.before.each(async (context) => {
  await setUpProcess(context, { upstreamCount: 1, listedCount: 1 });
});

test.after.each(tearDownProcess);

/** Creates the state of a daemon that is not there. */
function createState(address: string, sequence: number): MemberState {
  return {
    name: `odd-${address}`,
    address,
    operations: "127.0.0.9:9",
    zone: "north",
    incarnation: 1,
    sequence,
    sampledAt: performance.now(),
    version: -1,
    confirmedAt: -Infinity,
    running: new Map(),
    unreachedServices: new Set(),
  };
}

// Guards against a datagram that makes every round of a router fail, so that its process ends (FAULT, issue 45).
test("leave the router as it is", async (context) => {
  const { router } = context;
  const socket = createSocket("udp4");
  const end = performance.now() + playMilliseconds;
  for (let sequence = 1; performance.now() < end && !router.hasExited(); sequence += 1) {
    for (const address of oddAddresses) {
      const states = [createState(address, sequence)];
      const datagram = encodeDatagram({ states, notices: [] }, performance.now());
      socket.send(datagram, router.addresses.datagrams, router.addresses.host);
    }
    await delay(sendIntervalMilliseconds);
  }
  socket.close();
  const exitCode = router.hasExited() ? await router.waitForExit() : undefined;
  const faults = ["daemon.fault", "task.failed", "daemon.task-failed"].flatMap((event) => [
    ...router.getLines(event),
  ]);
  assert.equal({ exitCode, faults: faults.slice(0, 2) }, { exitCode: undefined, faults: [] });
  const { status } = await callProcess(context, "/read/1", "q-1");
  assert.is(status, 200);
});

test.run();
