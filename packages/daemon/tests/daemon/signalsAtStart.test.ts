import { setTimeout as delay } from "node:timers/promises";
import { suite } from "uvu";
import * as assert from "uvu/assert";
import { getFreePorts } from "../router/getFreePorts.js";
import { createDaemonSettings, DaemonProcess, listeners } from "./DaemonProcess.js";

interface Context {
  settings: string;
  daemon: DaemonProcess;
}

const test = suite<Context>("signals and settings at the start of a daemon");
const absentMilliseconds = 1_000;
const checkMilliseconds = 20;

test.before.each(async (context) => {
  context.settings = createDaemonSettings(await getFreePorts(listeners.length));
  context.daemon = await DaemonProcess.create();
});

test.after.each(async ({ daemon }) => {
  await daemon.close();
});

/** Makes the program say when it runs, and take a second to load its first module of an HTTP framework. */
const slowLoad = `--import=data:text/javascript,${encodeURIComponent(
  `import { register } from "node:module";` +
    `register("data:text/javascript," + encodeURIComponent(` +
    `"export async function load(url, context, next) {" +` +
    `"if (url.includes('reflect-metadata')) { process._rawDebug('loading');" +` +
    `"await new Promise((resolve) => setTimeout(resolve, 1000)); }" +` +
    `"return next(url, context); }"));`,
)}`;

// Guards against a daemon that ends because its settings are written a moment after its start (issue 45).
for (const [name, getText] of [
  ["missing", () => undefined],
  ["half written", (settings: string) => settings.slice(0, settings.length / 2)],
] as const) {
  test(`starts when the settings are ${name} at first`, async ({ settings, daemon }) => {
    const text = getText(settings);
    if (text !== undefined) {
      await daemon.writeSettings(text);
    }
    daemon.start();
    await daemon.waitForOutput(daemon.file);
    await delay(absentMilliseconds);
    await daemon.writeSettings(settings);
    await daemon.waitForOutput("event=daemon.listening");
  });
}

// Guards against an end by the runtime's own trace in place of a line that names the file (issue 45).
test("ends with the code for settings when there are none", async ({ daemon }) => {
  daemon.start();
  const { exitCode } = await daemon.waitForExit();
  const message = `${daemon.file}: cannot be read: ENOENT`;
  const lines = daemon.getOutput().trim().split("\n");
  assert.equal(
    { exitCode, lines: lines.map((line) => line.replace(/^at=\S+ /, "")) },
    {
      exitCode: 2,
      lines: [`level=warn event=settings.refused detail=${JSON.stringify(message)}`, message],
    },
  );
});

// Guards against a daemon that a signal for a reload ends, as nothing listens to it (FAULT, issue 45).
test("goes on after a signal for a reload that comes while it is loaded", async (context) => {
  const { settings, daemon } = context;
  await daemon.writeSettings(settings);
  daemon.start([slowLoad]);
  await daemon.waitForOutput("loading");
  daemon.send("SIGHUP");
  await daemon.waitForOutput("event=daemon.listening");
});

// Guards against a daemon that a signal for a reload ends before its settings are read (FAULT, issue 45).
test("goes on after a signal for a reload that comes before the settings", async (context) => {
  const { settings, daemon } = context;
  daemon.start();
  await daemon.waitForOutput(daemon.file);
  daemon.send("SIGHUP");
  await delay(checkMilliseconds);
  await daemon.writeSettings(settings);
  await daemon.waitForOutput("event=daemon.listening");
});

// Guards against a daemon that a signal for a reload ends without a planned stop (FAULT, issue 45).
test("goes on after a signal for a reload that comes while it serves", async (context) => {
  const { settings, daemon } = context;
  await daemon.writeSettings(settings);
  daemon.start();
  await daemon.waitForOutput("event=daemon.listening");
  daemon.send("SIGHUP");
  await daemon.waitForOutput("event=daemon.reload-refused");
  daemon.send("SIGTERM");
  assert.equal(await daemon.waitForExit(), { exitCode: 0, signal: null });
});

// Guards against a stop while the program is loaded that looks like a failure (issue 45).
test("ends in order after a signal for a stop that comes while it is loaded", async (context) => {
  const { settings, daemon } = context;
  await daemon.writeSettings(settings);
  daemon.start([slowLoad]);
  await daemon.waitForOutput("loading");
  daemon.send("SIGTERM");
  assert.equal(await daemon.waitForExit(), { exitCode: 0, signal: null });
});

// Guards against a stop before the settings are read that is lost or looks like a failure (issue 45).
test("ends at once after a signal for a stop that comes before the settings", async ({
  daemon,
}) => {
  daemon.start();
  await daemon.waitForOutput(daemon.file);
  daemon.send("SIGTERM");
  assert.equal(await daemon.waitForExit(), { exitCode: 0, signal: null });
});

test.run();
