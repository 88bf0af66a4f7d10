import { spawn, type ChildProcess } from "node:child_process";
import { createSocket } from "node:dgram";
import { once } from "node:events";
import { mkdtemp, rm, writeFile } from "node:fs/promises";
import { createServer } from "node:net";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { setTimeout as delay } from "node:timers/promises";
import { fileURLToPath } from "node:url";
import { suite } from "uvu";
import * as assert from "uvu/assert";
import { getFreePorts } from "../router/getFreePorts.js";

const test = suite("starts of a daemon whose addresses are in use");

const main = fileURLToPath(new URL("main.js", import.meta.resolve("@pistachioway/daemon")));
const listeners = ["callers", "peers", "operations", "datagrams"] as const;
const heldMilliseconds = 3_000;
const startFailedExitCode = 5;

/** A daemon in a process of its own. */
interface DaemonProcess {
  readonly child: ChildProcess;
  readonly folder: string;
  /** Gets what it has written so far. */
  readonly getOutput: () => string;
}

/** Starts a daemon, of which one address is in use. */
async function startDaemon(ports: readonly number[]): Promise<DaemonProcess> {
  const folder = await mkdtemp(join(tmpdir(), "pistachioway-start-"));
  const file = join(folder, "daemon.toml");
  const addresses = listeners.map((name, index) => `${name} = "127.0.0.1:${String(ports[index])}"`);
  await writeFile(
    file,
    `[process]\nname = "d"\nzone = "north"\n[listeners]\n${addresses.join("\n")}\n` +
      `[platform]\naddress = "127.0.0.1:9"\n[peers]\nkey = "${"k".repeat(32)}"\n`,
  );
  const child = spawn(process.execPath, [main, "--settings", file], {
    stdio: ["ignore", "pipe", "pipe"],
  });
  let output = "";
  [child.stdout, child.stderr].forEach((stream) => {
    stream.on("data", (chunk: Buffer) => (output += chunk.toString()));
  });
  return { child, folder, getOutput: () => output };
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

async function end({ child, folder }: DaemonProcess): Promise<void> {
  child.kill("SIGKILL");
  await rm(folder, { recursive: true, force: true });
}

// Guards against a daemon that does not come up, as its address was in use for a moment (FAULT).
for (const [index, name] of listeners.entries()) {
  test(`listen for ${name} once the address is free`, async () => {
    const ports = await getFreePorts(listeners.length);
    const release = await holdAddress(name, ports[index] ?? 0);
    const daemon = await startDaemon(ports);
    const deadline = performance.now() + 60_000;
    while (!daemon.getOutput().includes("event=listener.refused") && performance.now() < deadline) {
      await delay(20);
    }
    await delay(heldMilliseconds);
    release();
    while (!daemon.getOutput().includes("event=daemon.listening") && performance.now() < deadline) {
      await delay(20);
    }
    const { exitCode } = daemon.child;
    await end(daemon);
    assert.equal([exitCode, daemon.getOutput().includes("event=daemon.listening")], [null, true]);
  });
}

// Guards against a trace of the runtime as the only sign of an address that stays in use.
test("end with an exit code of their own when the address stays in use", async () => {
  const ports = await getFreePorts(listeners.length);
  const release = await holdAddress("callers", ports[0] ?? 0);
  const daemon = await startDaemon(ports);
  const [exitCode] = (await once(daemon.child, "close")) as [number | null];
  release();
  await end(daemon);
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
