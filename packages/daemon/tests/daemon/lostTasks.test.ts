import { Platform } from "@pistachioway/standins";
import { setTimeout as delay } from "node:timers/promises";
import { suite } from "uvu";
import * as assert from "uvu/assert";
import { getFreePorts } from "../router/getFreePorts.js";
import { createConfigurationText } from "./DaemonFixture.js";
import { createDaemonSettings, DaemonProcess, listeners } from "./DaemonProcess.js";

interface Context {
  platform: Platform;
  ports: readonly number[];
  daemon: DaemonProcess;
}

const test = suite<Context>("tasks of a daemon that fail");
const kernel = import.meta.resolve("@pistachioway/kernel");
/** Time in which each periodic task has several turns. */
const playMilliseconds = 3_000;

test.before.each(async (context) => {
  context.platform = Platform.create();
  await context.platform.listen();
  context.platform.setConfiguration(createConfigurationText());
  context.ports = await getFreePorts(listeners.length);
  context.daemon = await DaemonProcess.create();
});

test.after.each(async ({ platform, daemon }) => {
  await daemon.close();
  await platform.close();
});

/** Makes messages of a kind to a plug-in throw, up to a number of them. */
function createBreakage(plugin: string, kind: string, times: number): string {
  const code =
    `import { Kernel } from ${JSON.stringify(kernel)}; let count = 0;` +
    `const { send } = Kernel.prototype; Kernel.prototype.send = function (...values) {` +
    `if (values[0].name === "${plugin}" && values[1].kind === "${kind}" && count < ${String(times)}) {` +
    `count += 1; throw new Error("broken " + count); } return send.apply(this, values); };`;
  return `--import=data:text/javascript,${encodeURIComponent(code)}`;
}

/** Makes the loop that follows the platform end, as its clock cannot be read. */
function createLoopBreakage(): string {
  const code =
    `const { now } = Date; Date.now = () => { if (/at PlatformTask.[a-z]+Hosts/.test(new Error().stack)) {` +
    `throw new Error("broken clock"); } return now(); };`;
  return `--import=data:text/javascript,${encodeURIComponent(code)}`;
}

async function start(context: Context, breakage?: string): Promise<void> {
  const { platform, ports, daemon } = context;
  await daemon.writeSettings(createDaemonSettings(ports, platform.address));
  daemon.start(breakage === undefined ? [] : [breakage]);
}

/** Lists the daemon, and a host of its own kind. */
function listHosts({ platform, ports }: Context, datagramAddress: string): void {
  const host = { role: "entry" as const, zone: "north", state: "live" as const };
  const at = (index: number): string => `127.0.0.1:${String(ports[index])}`;
  const own = { address: at(0), peerAddress: at(1), operationsAddress: at(2) };
  platform.setHosts([
    { name: "d", ...host, ...own, datagramAddress: at(3) },
    { name: "e", ...host, address: "127.0.0.9:9", peerAddress: datagramAddress, datagramAddress },
  ]);
}

/** Gets the events of a daemon that tell of errors. */
function getErrors(daemon: DaemonProcess): readonly string[] {
  const lines = daemon.getOutput().split("\n");
  return lines
    .filter((line) => / event=(daemon\.fault|task\.failed|daemon\.task-failed) /.test(line))
    .map((line) => line.replace(/^at=\S+ level=\S+ /, "").slice(0, 200));
}

// Guards against a daemon that ends without a line of its own, or lives on without a task (FAULT, issue 45).
test("end the process in order when they fail always", async (context) => {
  const { daemon } = context;
  await start(context, createBreakage("placement", "tick", Infinity));
  const exit = await daemon.waitForExit();
  const [detail] = /event=daemon.task-failed .*/.exec(daemon.getOutput()) ?? [];
  assert.equal(
    [exit, detail?.includes("failed 20 times in a row: broken 20")],
    [{ exitCode: 6, signal: null }, true],
  );
});

// Guards against a daemon that cannot be created and ends as if it had been stopped (FAULT, issue 45).
test("end the start when they cannot be created", async (context) => {
  const { daemon } = context;
  await start(context, createBreakage("membership", "identity", 1));
  const exit = await daemon.waitForExit();
  const [detail] = /event=daemon.start-failed .*/.exec(daemon.getOutput()) ?? [];
  assert.equal(
    [exit, detail],
    [{ exitCode: 5, signal: null }, 'event=daemon.start-failed detail="broken 1"'],
  );
});

// Guards against a daemon that no longer follows its platform, and says that it is ready (issue 45).
test("end the process in order when the loop that follows the platform ends", async (context) => {
  const { daemon } = context;
  await start(context, createLoopBreakage());
  const exit = await daemon.waitForExit();
  const [detail] = /event=daemon.task-failed .*/.exec(daemon.getOutput()) ?? [];
  assert.equal(
    [exit, detail],
    [
      { exitCode: 6, signal: null },
      'event=daemon.task-failed detail="task \\"platform\\" has ended: broken clock"',
    ],
  );
});

// Guards against a daemon that ends because of one failure of a task (FAULT, issue 45).
test("go on when they fail once", async (context) => {
  const { daemon } = context;
  await start(context, createBreakage("placement", "tick", 1));
  await daemon.waitForOutput("event=daemon.ready");
  assert.match(daemon.getOutput(), /event=task.failed process=d task=placement failures=1 /);
});

// Guards against a daemon that ends, or no longer follows its platform, after a host list that it fails to apply (FAULT,
// issue 45).
test("read the host list again when it cannot be applied", async (context) => {
  const { daemon } = context;
  listHosts(context, "127.0.0.9:9");
  await start(context, createBreakage("membership", "hostList", 1));
  await daemon.waitForOutput("event=platform.read-failed");
  await daemon.waitForOutput("event=daemon.changed process=d daemon=e");
  assert.equal([daemon.hasExited(), getErrors(daemon)], [false, []]);
});

// Guards against a daemon that ends because of a fault outside of its tasks (FAULT, issue 45).
test("do not matter to a handler of one event that fails once", async (context) => {
  const { daemon } = context;
  await start(context, createBreakage("revisions", "published", 1));
  await daemon.waitForOutput("event=daemon.fault");
  await daemon.waitForOutput("event=daemon.ready");
});

// Guards against a daemon that an address ends to which nothing can be sent (FAULT, issue 45).
test("are not lost when a listed address cannot be", async (context) => {
  const { daemon } = context;
  listHosts(context, "127.0.0.9:70000");
  await start(context);
  await daemon.waitForOutput("event=daemon.ready");
  await delay(playMilliseconds);
  assert.equal([daemon.hasExited(), getErrors(daemon)], [false, []]);
});

test.run();
