import { suite } from "uvu";
import * as assert from "uvu/assert";
import {
  callProcess,
  setUpProcess,
  tearDownProcess,
  type ProcessContext,
} from "./ProcessContext.js";
import { waitFor } from "./RouterFixture.js";

const test = suite<ProcessContext>("tasks of a router that fail");

/** Makes sends of datagrams throw, from the `first`th up to the one before the `end`th. */
function createBreakage(first: number, end: number): string {
  const code =
    `import dgram from "node:dgram"; let count = 0; const { send } = dgram.Socket.prototype;` +
    `dgram.Socket.prototype.send = function (...values) { count += 1;` +
    `if (count >= ${String(first)} && count < ${String(end)}) { throw new Error("broken " + count); }` +
    `return send.apply(this, values); };`;
  return `--import=data:text/javascript,${encodeURIComponent(code)}`;
}

async function setUp(context: ProcessContext, breakage: string): Promise<void> {
  const nodeOptions = [breakage];
  const seeds = ["127.0.0.2:1"];
  await setUpProcess(context, { upstreamCount: 1, listedCount: 1, nodeOptions, seeds });
}

test.after.each(tearDownProcess);

// Guards against a process that lives on without rounds of its fleet, and says that it is ready (issue 45).
test("end the process when they fail always", async (context) => {
  await setUp(context, createBreakage(1, Infinity));
  const exitCode = await context.router.waitForExit();
  const lines = context.router.getLines("daemon.task-failed");
  assert.equal(
    { exitCode, lines: lines.map((line) => /detail=.*/.exec(line)?.[0]) },
    {
      exitCode: 6,
      lines: ['detail="task \\"fleet\\" failed 20 times in a row: broken 20"'],
    },
  );
});

// Guards against a process that ends because of one failure.
test("go on when they fail once", async (context) => {
  await setUp(context, createBreakage(2, 3));
  await waitFor(() => context.router.getLines("task.failed").length > 0);
  const { status } = await callProcess(context, "/read/1", "q-1");
  assert.equal(
    {
      status,
      hasExited: context.router.hasExited(),
      failures: context.router.getLines("task.failed").length,
    },
    { status: 200, hasExited: false, failures: 1 },
  );
});

test.run();
