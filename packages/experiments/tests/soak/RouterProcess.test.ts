import { mkdtemp, rm, writeFile } from "node:fs/promises";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { suite } from "uvu";
import * as assert from "uvu/assert";
import { ProcessExitError } from "@pistachioway/experiments";
import { handlesSignal } from "../../dist/soak/handlesSignal.js";
import { RouterProcess } from "../../dist/soak/RouterProcess.js";

const lineCount = 1_000;
const ports = { callers: 1, readiness: 2, operations: 3, datagrams: 4 };

/** A program that writes numbered lines, the last of which says that it listens, and runs on. */
const program = `
for (let line = 1; line < ${String(lineCount)}; line += 1) console.log("line=" + line);
console.log("event=daemon.listening");
setInterval(() => undefined, 1_000);
`;

/** Time after which the program below handles SIGHUP. */
const unhandledMilliseconds = 300;

/** A program that a reload ends in its first time. */
const lateHandler = `
console.log("line=begun");
setTimeout(() => {
  process.on("SIGHUP", () => undefined);
  console.log("event=daemon.listening");
}, ${String(unhandledMilliseconds)});
`;

/** A program that handles a reload before it listens, and then ends itself by the same signal. */
const endsByReload = `
process.once("SIGHUP", () => process.kill(process.pid, "SIGHUP"));
setInterval(() => undefined, 1_000);
console.log("line=begun");
`;

/** A program that tells whether its settings can be read when it is reloaded. */
const readsSettings = `
import { existsSync } from "node:fs";
process.on("SIGHUP", () => console.log("settings=" + existsSync(process.argv[3])));
setInterval(() => undefined, 1_000);
console.log("event=daemon.listening");
`;

/** Creates a router that runs a program, starts it, and calls `handleFirstLine` at its first line of output. */
async function startProgram(
  text: string,
  handleFirstLine: (router: RouterProcess) => void,
): Promise<{ readonly router: RouterProcess; readonly error: unknown }> {
  const folder = await mkdtemp(join(tmpdir(), "pistachioway-test-"));
  const file = join(folder, "program.mjs");
  await writeFile(file, text);
  let lines = 0;
  const onLine = (): void => {
    lines += 1;
    if (lines === 1) {
      handleFirstLine(router);
    }
  };
  const options = { file, nodeOptions: [], onLine };
  const router = RouterProcess.create("r-1", "127.0.0.1", ports, "127.0.0.1:5", options);
  try {
    await router.start();
    return { router, error: undefined };
  } catch (error) {
    return { router, error };
  } finally {
    await router.stop("SIGKILL");
    await rm(folder, { recursive: true });
  }
}

function countLines(router: RouterProcess, line: string): number {
  return router
    .getOutput()
    .split("\n")
    .filter((other) => other === line).length;
}

const test = suite("RouterProcess");

// Guards against logs of a broken run without the lines that show its cause, as only the last ones were kept.
test("keeps the whole output of all processes of a router", async () => {
  const folder = await mkdtemp(join(tmpdir(), "pistachioway-test-"));
  const file = join(folder, "program.mjs");
  await writeFile(file, program);
  const options = { file, nodeOptions: [], onLine: () => undefined };
  const router = RouterProcess.create("r-1", "127.0.0.1", ports, "127.0.0.1:5", options);
  await router.start();
  await router.stop("SIGKILL");
  await router.start();
  await router.stop("SIGKILL");
  await rm(folder, { recursive: true });
  const lines = router.getOutput().split("\n");
  assert.is(lines.length, 2 * lineCount + 1);
  assert.equal(
    [lines[0], lines[lineCount], lines.at(-1)],
    ["line=1", "--- started again ---", "event=daemon.listening"],
  );
});

// Guards against a soak that fails (own-ends) as its reload met a start in which the runtime has run no line of the program.
test("starts a program again that a reload ends before it handles the signal", async () => {
  const { router, error } = await startProgram(lateHandler, (started) => {
    started.reload();
  });
  assert.is(error, undefined);
  assert.is(router.getRepeatedStarts(), 1);
  assert.is(countLines(router, "line=begun"), 2);
});

// Guards against a start that a reload ends although the program handles it, which would pass for one of the runtime.
test("reports a program that handles a reload and ends by it", async () => {
  const { router, error } = await startProgram(endsByReload, (started) => {
    started.reload();
  });
  assert.instance(error, ProcessExitError);
  assert.match(String(error), "ended by SIGHUP");
  assert.is(router.getRepeatedStarts(), 0);
});

// Guards against ends that no early reload caused and that are passed over all the same.
test("reports a program that a signal ends which is no reload", async () => {
  const ends = ["SIGHUP", "SIGKILL"] as const;
  for (const signal of ends) {
    const { router, error } = await startProgram(lateHandler, (started) => {
      started.signal(signal);
    });
    assert.match(String(error), `ended by ${signal}`);
    assert.is(router.getRepeatedStarts(), 0);
  }
});

// Guards against a soak whose reloads are all refused, as the settings are gone once the router listens.
test("keeps the settings while the process runs", async () => {
  const folder = await mkdtemp(join(tmpdir(), "pistachioway-test-"));
  const file = join(folder, "program.mjs");
  await writeFile(file, readsSettings);
  const seen = new Promise<string>((resolve) => {
    const onLine = (line: string): void => {
      if (line.startsWith("settings=")) {
        resolve(line);
      }
    };
    const options = { file, nodeOptions: [], onLine };
    const router = RouterProcess.create("r-1", "127.0.0.1", ports, "127.0.0.1:5", options);
    void router.start().then(() => {
      router.reload();
      return seen.finally(() => router.stop("SIGKILL"));
    });
  });
  assert.is(await seen, "settings=true");
  await rm(folder, { recursive: true });
});

// Guards against reports of a start that failed which do not tell why.
test("names the exit code of a program that exits before it listens", async () => {
  const { error } = await startProgram("process.exit(5);", () => undefined);
  assert.match(String(error), "exit code 5");
});

// Guards against an end by a reload that is passed over where the kernel does not tell what a process handles.
test("a signal counts as handled where the kernel does not tell", () => {
  const maxPid = 4_194_304;
  assert.is(handlesSignal(maxPid + 1, "SIGHUP"), true);
});

test.run();
