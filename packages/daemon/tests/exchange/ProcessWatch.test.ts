import { createServer, type AddressInfo, type Server, type Socket } from "node:net";
import { setTimeout as delay } from "node:timers/promises";
import { suite } from "uvu";
import * as assert from "uvu/assert";
import { ProcessWatch, type AnswerTimes, type EndEvidence } from "../../dist/exchange/index.js";
import { StalledUpstream } from "./StalledUpstream.js";

interface Context {
  upstream: StalledUpstream;
  watch: ProcessWatch;
}

const stalled = suite<Context>("ProcessWatch of an upstream with a short queue");

/** Within the first try, which ends after 250 ms. */
const stallMilliseconds = 200;
/** Three tries of 250 ms, and a margin for a busy machine. */
const longestMilliseconds = 1_500;
/** Time in which a connection is opened and an answer comes. */
const settlingMilliseconds = 50;

function watchAddress(address: string): ProcessWatch {
  const request = { path: "/healthz", headers: [] };
  const watch = ProcessWatch.start({ address, request, getNow: () => performance.now() });
  watch.addUser();
  return watch;
}

function check(watch: ProcessWatch, times: Partial<AnswerTimes> = {}): Promise<EndEvidence> {
  const now = performance.now();
  return watch.check({ startedAt: now, earliestEnd: now, ...times }, () => true);
}

stalled.before.each(async (context) => {
  context.upstream = await StalledUpstream.create();
});

stalled.after.each(async ({ upstream, watch }) => {
  watch.removeUser();
  await upstream.close();
});

// Guards against an upstream that is taken for gone, as its full queue has dropped one connection (LOST).
stalled(
  "takes one whose queue was full during the first try for one that goes on",
  async (context) => {
    const { upstream } = context;
    await upstream.stall();
    context.watch = watchAddress(upstream.address);
    const evidence = check(context.watch);
    await delay(stallMilliseconds);
    upstream.goOn();
    assert.is(await evidence, "answered");
  },
);

// Guards against a check without end, and against an upstream that accepts nothing counting as one that goes on (ORDER).
stalled(
  "takes one whose queue stays full for one that cannot be reached, in time",
  async (context) => {
    const { upstream } = context;
    await upstream.stall();
    context.watch = watchAddress(upstream.address);
    const startedAt = performance.now();
    assert.is(await check(context.watch), "unreachable");
    assert.ok(performance.now() - startedAt < longestMilliseconds);
  },
);

stalled("takes one that answers for one that goes on", async (context) => {
  context.watch = watchAddress(context.upstream.address);
  assert.equal(await Promise.all([check(context.watch), check(context.watch)]), [
    "answered",
    "answered",
  ]);
});

// Guards against a check without end where an upstream accepts connections and does not answer.
stalled("takes one that does not answer for silent", async (context) => {
  context.watch = watchAddress(context.upstream.address);
  await delay(settlingMilliseconds);
  await context.upstream.stall();
  assert.is(await check(context.watch), "silent");
});

stalled.run();

interface RawContext {
  server: Server;
  sockets: Socket[];
  watch: ProcessWatch;
  /** What the process writes to each question. */
  answer: string;
}

const raw = suite<RawContext>("ProcessWatch");

const okAnswer = "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n";
const closingAnswer = "HTTP/1.1 503 X\r\nConnection: close\r\nContent-Length: 0\r\n\r\n";
const idleMilliseconds = 600;

raw.before.each(async (context) => {
  context.sockets = [];
  context.answer = okAnswer;
  context.server = createServer((socket) => {
    context.sockets.push(socket);
    socket.on("error", () => undefined);
    socket.on("data", () => socket.write(context.answer));
  });
  await new Promise<void>((resolve) => context.server.listen(0, "127.0.0.1", resolve));
  const { port } = context.server.address() as AddressInfo;
  context.watch = watchAddress(`127.0.0.1:${String(port)}`);
  await delay(settlingMilliseconds);
});

raw.after.each(async ({ server, sockets, watch }) => {
  watch.removeUser();
  sockets.forEach((socket) => socket.destroy());
  await new Promise((resolve) => server.close(resolve));
});

// Guards against another process at the address being taken for the one that began an answer (ORDER).
raw("trusts no connection that was opened when the one before had just ended", async (context) => {
  const startedAt = performance.now();
  context.sockets[0]?.destroy();
  await delay(settlingMilliseconds);
  assert.is(await check(context.watch, { startedAt }), "replaced");
});

// Guards against sound answers being broken off, as the upstream closes idle connections (ORDER).
raw("trusts one that was open long before the end", async (context) => {
  const startedAt = performance.now();
  context.sockets[0]?.destroy();
  await delay(idleMilliseconds);
  assert.is(await check(context.watch, { startedAt }), "answered");
});

// Guards against an end that was read late, as the connection was not read all the while (ORDER).
raw("does not trust it where the end may be older", async (context) => {
  const startedAt = performance.now();
  context.sockets[0]?.destroy();
  await delay(idleMilliseconds);
  assert.is(await check(context.watch, { startedAt, earliestEnd: startedAt }), "replaced");
});

// Guards against an upstream that leaves being taken for gone, as each of its answers ends a connection (ORDER).
raw("takes an answer that ends its connection for one", async (context) => {
  context.answer = closingAnswer;
  const startedAt = performance.now();
  const first = await check(context.watch, { startedAt });
  assert.equal([first, await check(context.watch, { startedAt })], ["answered", "answered"]);
});

raw("takes a process that ends the connection instead of answering for gone", async (context) => {
  context.sockets[0]?.removeAllListeners("data");
  context.sockets[0]?.once("data", () => context.sockets[0]?.end());
  assert.is(await check(context.watch), "ended");
});

// Guards against bytes from before the question being taken for its answer.
raw("takes bytes that come unasked for no answer", async (context) => {
  context.sockets[0]?.removeAllListeners("data");
  context.sockets[0]?.write(okAnswer);
  await delay(settlingMilliseconds);
  assert.is(context.sockets[0]?.destroyed, true);
});

raw("ends its connection with its last user", async (context) => {
  context.watch.addUser();
  assert.is(context.watch.removeUser(), false);
  await delay(settlingMilliseconds);
  assert.is(context.sockets[0]?.destroyed, false);
  context.watch.removeUser();
  await delay(settlingMilliseconds);
  assert.is(context.sockets[0]?.destroyed, true);
  context.watch.addUser();
});

// Guards against a connection that nobody closes, and a sound upstream that counts as unreachable, as a caller leaves during a check.
raw("opens no connection once its last user has left", async (context) => {
  context.sockets[0]?.destroy();
  await delay(settlingMilliseconds);
  const evidence = check(context.watch);
  context.watch.removeUser();
  assert.is(await evidence, "ended");
  await delay(idleMilliseconds);
  assert.is(context.sockets.filter(({ destroyed }) => !destroyed).length, 0);
  context.watch.addUser();
});

raw.run();
