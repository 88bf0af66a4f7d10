import { createSocket } from "node:dgram";
import { once } from "node:events";
import { createServer } from "node:net";
import { setTimeout as delay } from "node:timers/promises";
import { suite } from "uvu";
import * as assert from "uvu/assert";
import { getFreePorts } from "../router/getFreePorts.js";
import { createDaemonSettings, DaemonProcess, listeners } from "./DaemonProcess.js";

const test = suite("starts of a daemon whose addresses are in use");

const heldMilliseconds = 3_000;
const startFailedExitCode = 5;

/** Starts a daemon with settings of its own. */
async function startDaemon(ports: readonly number[]): Promise<DaemonProcess> {
  const daemon = await DaemonProcess.create();
  await daemon.writeSettings(createDaemonSettings(ports));
  daemon.start();
  return daemon;
}

/** Holds the address of a listener; the result releases it. */
async function holdAddress(name: string, port: number): Promise<() => void> {
  if (name === "datagrams") {
    const socket = createSocket("udp4").bind(port, "127.0.0.1");
    await once(socket, "listening");
    return () => socket.close();
  }
  const server = createServer().listen(port, "127.0.0.1");
  await once(server, "listening");
  return () => server.close();
}

// Guards against a daemon that does not come up, as its address was in use for a moment (FAULT).
for (const [index, name] of listeners.entries()) {
  test(`listen for ${name} once the address is free`, async () => {
    const ports = await getFreePorts(listeners.length);
    const release = await holdAddress(name, ports[index] ?? 0);
    const daemon = await startDaemon(ports);
    await daemon.waitForOutput("event=listener.refused");
    await delay(heldMilliseconds);
    release();
    await daemon.waitForOutput("event=daemon.listening");
    const hasExited = daemon.hasExited();
    await daemon.close();
    assert.is(hasExited, false);
  });
}

// Guards against a trace of the runtime as the only sign of an address that stays in use.
test("end with an exit code of their own when the address stays in use", async () => {
  const ports = await getFreePorts(listeners.length);
  const release = await holdAddress("callers", ports[0] ?? 0);
  const daemon = await startDaemon(ports);
  const { exitCode } = await daemon.waitForExit();
  release();
  await daemon.close();
  const failed = daemon.getOutput().match(/event=daemon.start-failed detail="(.*)"/)?.[1];
  assert.equal(
    [exitCode, failed?.replaceAll("\\", "")],
    [
      startFailedExitCode,
      `listener "callers" cannot listen on "127.0.0.1:${String(ports[0])}": EADDRINUSE`,
    ],
  );
});

test.run();
