import { RegistryStore } from "@pistachioway/standins";
import { once } from "node:events";
import { spawn, type ChildProcess } from "node:child_process";
import { mkdtemp, rm, writeFile } from "node:fs/promises";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { setTimeout as delay } from "node:timers/promises";
import { fileURLToPath } from "node:url";
import { suite } from "uvu";
import * as assert from "uvu/assert";
import { chooseAddresses, createSettings } from "./RouterProcess.js";

interface Context {
  store: RegistryStore;
  folder: string;
  file: string;
  settings: string;
  child: ChildProcess;
  output: string;
}

const test = suite<Context>("ends of a router before its start");
const main = fileURLToPath(new URL("routerMain.js", import.meta.resolve("@pistachioway/daemon")));
const absentMilliseconds = 1_000;
const checkMilliseconds = 20;
const timeoutMilliseconds = 30_000;

test.before.each(async (context) => {
  context.store = RegistryStore.create();
  await context.store.listen();
  context.store.publishConfiguration();
  context.folder = await mkdtemp(join(tmpdir(), "pistachioway-start-"));
  context.file = join(context.folder, "router.toml");
  const addresses = await chooseAddresses("127.0.0.1");
  context.settings = createSettings(addresses, context.store.address, []);
  context.output = "";
});

test.after.each(async ({ store, folder, child }) => {
  child.kill("SIGKILL");
  await store.close();
  await rm(folder, { recursive: true });
});

function launch(context: Context, nodeOptions: readonly string[] = []): void {
  context.child = spawn(process.execPath, [...nodeOptions, main, "--settings", context.file], {
    stdio: ["ignore", "pipe", "pipe"],
  });
  for (const stream of [context.child.stdout, context.child.stderr]) {
    stream?.on("data", (chunk: Buffer) => (context.output += chunk.toString()));
  }
}

/** Waits for a text in the output; throws when the process ends before. */
async function waitForOutput(context: Context, text: string): Promise<void> {
  const deadline = performance.now() + timeoutMilliseconds;
  while (!context.output.includes(text)) {
    const { exitCode, signalCode } = context.child;
    if (exitCode !== null || signalCode !== null || performance.now() > deadline) {
      throw new Error(`ended with ${String(exitCode)}, ${String(signalCode)}: ${context.output}`);
    }
    await delay(checkMilliseconds);
  }
}

// Guards against a router that ends because its settings are written a moment after its start (issue 45).
for (const [name, getText] of [
  ["missing", () => undefined],
  ["half written", (settings: string) => settings.slice(0, settings.length / 2)],
] as const) {
  test(`starts when the settings are ${name} at first`, async (context) => {
    const text = getText(context.settings);
    if (text !== undefined) {
      await writeFile(context.file, text);
    }
    launch(context);
    await waitForOutput(context, context.file);
    await delay(absentMilliseconds);
    await writeFile(context.file, context.settings);
    await waitForOutput(context, "event=daemon.listening");
  });
}

// Guards against an end by the runtime's own trace in place of a line that names the file (issue 45).
test("ends with the code for settings when there are none", async (context) => {
  launch(context);
  const [exitCode] = (await once(context.child, "close")) as [number | null];
  const message = `${context.file}: cannot be read: ENOENT`;
  const lines = context.output
    .trim()
    .split("\n")
    .map((line) => line.replace(/^at=\S+ /, ""));
  assert.equal(
    { exitCode, lines },
    {
      exitCode: 2,
      lines: [`level=warn event=settings.refused detail=${JSON.stringify(message)}`, message],
    },
  );
});

// Guards against a process that a signal for a reload ends, as nothing listens to it yet (issue 45).
test("goes on after a signal for a reload that comes before the settings", async (context) => {
  launch(context);
  await waitForOutput(context, context.file);
  context.child.kill("SIGHUP");
  await delay(checkMilliseconds);
  await writeFile(context.file, context.settings);
  await waitForOutput(context, "event=daemon.listening");
});

// Guards against a stop that is noticed only after the start, or that looks like a failure (issue 45).
test("ends at once after a signal for a stop that comes before the settings", async (context) => {
  launch(context);
  await waitForOutput(context, context.file);
  context.child.kill("SIGTERM");
  const [exitCode] = (await once(context.child, "close")) as [number | null];
  assert.is(exitCode, 0);
});

test.run();
