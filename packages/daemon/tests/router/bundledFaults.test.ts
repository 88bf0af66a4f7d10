import { setTimeout as delay } from "node:timers/promises";
import { execFile } from "node:child_process";
import { mkdtemp, rm } from "node:fs/promises";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { fileURLToPath } from "node:url";
import { promisify } from "node:util";
import { suite } from "uvu";
import * as assert from "uvu/assert";
import {
  callProcess,
  setUpProcess,
  tearDownProcess,
  type ProcessContext,
} from "./ProcessContext.js";
import { writeRaw } from "./scripts.js";

interface Context extends ProcessContext {
  folder: string;
}

const test = suite<Context>("bytes that are no answer, at the bundle of the router");
const bundler = fileURLToPath(new URL("../../../../scripts/bundle.mjs", import.meta.url));
/** Several ticks, by which a standstill is logged. */
const tickMilliseconds = 400;
/** Processor time that no exception may cost, in milliseconds. */
const maxProcessorMilliseconds = 400;

const statusLines = [
  "HTTP/1.1 000 OK",
  "HTTP/1.1 001 OK",
  "HTTP/1.1 099 OK",
  "HTTP/1.1 101 Switching Protocols",
  "HTTP/1.1 600 OK",
  "HTTP/1.1 999 OK",
  "HTTP/1.1 20 OK",
  "HTTP/1.1 2000 OK",
  "HTTP/1.1 2x0 OK",
  "HTTP/1.1 -20 OK",
  "HTTP/1.1",
  "HTTP/9.9 200 OK",
];
const oddParts = [
  "Content-Length: 1\r\nContent-Length: 2\r\n\r\nx",
  "Content-Length: x\r\n\r\nx",
  "Transfer-Encoding: chunked\r\n\r\nzz\r\nx",
  "Transfer-Encoding: chunked\r\nContent-Length: 1\r\n\r\nx",
  "Content-Length: 9\r\n\r\nx",
  "X\0: y\r\n\r\n",
];

/** Writes an answer whose status line or rest is odd. */
function createAnswer(statusLine: string, rest: string): (id: string) => string {
  return (id) => `${statusLine}\r\nRequest-Id: ${id}\r\nResponse-Stamp: stamp-${id}\r\n${rest}`;
}

const answers = [
  ...statusLines.map((line) => createAnswer(line, "Content-Length: 2\r\n\r\nok")),
  ...oddParts.map((rest) => createAnswer("HTTP/1.1 200 OK", rest)),
];

test.before.each(async (context) => {
  context.folder = await mkdtemp(join(tmpdir(), "pistachioway-bundle-"));
  await promisify(execFile)(process.execPath, [bundler, context.folder]);
  const program = join(context.folder, "pistachiowayd.mjs");
  await setUpProcess(context, { upstreamCount: 1, listedCount: 1, program });
});

test.after.each(async (context) => {
  await tearDownProcess(context);
  await rm(context.folder, { recursive: true });
});

/** Gets the processor time that the router used in each standstill that it has logged. */
function getStallProcessorTimes({ router }: Context): readonly number[] {
  return router.getLines("daemon.stalled").map((line) => Number(/processor=(\d+)/.exec(line)?.[1]));
}

// Guards against an exception of a library that costs seconds, as Node.js parses the bundle for its message (CONFIG).
test("cost no standstill, and leave open whether the request has run", async (context) => {
  const statuses: number[] = [];
  for (const [index, answer] of answers.entries()) {
    context.upstreams.forEach((upstream) => {
      upstream.setScript(writeRaw(answer, "close"));
    });
    const { status } = await callProcess(context, "/act/1", `q-${String(index)}`);
    statuses.push(status);
  }
  await delay(tickMilliseconds);
  const costly = getStallProcessorTimes(context).filter((time) => time > maxProcessorMilliseconds);
  assert.equal(costly, []);
  assert.equal(
    statuses,
    answers.map(() => 502),
  );
});

test.run();
