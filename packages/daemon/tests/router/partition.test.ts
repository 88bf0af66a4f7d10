import { respondWith, type LinkMode, type Script } from "@pistachioway/standins";
import { setTimeout as delay } from "node:timers/promises";
import { suite } from "uvu";
import * as assert from "uvu/assert";
import { LinkedFleet, type CallRecord } from "./LinkedFleet.js";

interface Context {
  fleet: LinkedFleet;
}

const test = suite<Context>("routers that reach no upstream while their peers do");

const cutRouter = 0;
const workMilliseconds = 20;
/** Time after the beginning of a cut from which the callers of the cut router are served like the others. */
const noticeMilliseconds = 1_000;
const measuredMilliseconds = 3_000;
/** Share of first tries that are served at the cut router, as part of the share at the others. */
const minRelativeShare = 0.95;
const paths = ["/read/1", "/act/1", "/stream/1", "/once/1"];

/** Responds after some time; streams hold three events. */
function createScript(): Script {
  return (request, response) => {
    setTimeout(() => {
      if (!/^\/(stream|once)\//.test(request.path)) {
        respondWith("ok")(request, response);
        return;
      }
      response.writeHead(200, {
        ...{ "request-id": request.id, "response-stamp": `stamp-${request.id}` },
        "content-type": "text/event-stream",
      });
      response.end([1, 2, 3].map((event) => `id: ${String(event)}\ndata: x\n\n`).join(""));
    }, workMilliseconds);
  };
}

function isServed({ id, response }: CallRecord): boolean {
  return response.status === 200 && response.headers["response-stamp"] === `stamp-${id}`;
}

function getServedShare(calls: readonly CallRecord[]): number {
  return calls.filter(isServed).length / Math.max(1, calls.length);
}

/** Asserts that the cut router served its callers like the others from a time on. */
function assertServedAlike({ calls }: LinkedFleet, since: number): void {
  const measured = calls.filter(({ sentAt }) => sentAt >= since);
  const cut = getServedShare(measured.filter(({ router }) => router === cutRouter));
  const others = getServedShare(measured.filter(({ router }) => router !== cutRouter));
  const message = `cut ${cut.toFixed(3)}, others ${others.toFixed(3)}`;
  console.log(message);
  assert.ok(others >= minRelativeShare, message);
  assert.ok(cut >= others * minRelativeShare, message);
}

/** Asserts that no request that must not be repeated ran twice, and that refusals say the truth. */
function assertRuns(fleet: LinkedFleet): void {
  const wrong = fleet.calls.filter(({ id, response }) => {
    const runs = fleet.getRuns(id);
    const isRepeatable = [1, 3].every((kind) => Number(id.slice(2)) % paths.length !== kind);
    return !isRepeatable && (runs > 1 || (response.status === 503 && runs > 0));
  });
  assert.is(wrong.length, 0, wrong.map(({ id }) => id).join(", "));
}

const getPath = (call: number): string => paths[call % paths.length] ?? "";

test.before.each(async (context) => {
  context.fleet = await LinkedFleet.create({ routers: 3, upstreams: 4, createScript });
});

test.after.each(async ({ fleet }) => {
  await fleet.close();
});

const cuts: readonly (readonly [LinkMode, string])[] = [
  ["cut", "hang"],
  ["closed", "are reset, and new ones refused"],
  ["closed-to-new", "live on while new ones are refused"],
  ["refuse", "are reset, also new ones"],
  ["cut-response", "bring no answers"],
];

for (const [mode, what] of cuts) {
  // Guards against routers that serve nobody while they reach no upstream, although their peers do (RECOVER).
  test(`callers of a router whose connections to all upstreams ${what} are served`, async ({
    fleet,
  }) => {
    await fleet.run(1_000, getPath);
    fleet.setLinks(cutRouter, mode);
    const cutAt = performance.now();
    await fleet.run(noticeMilliseconds + measuredMilliseconds, getPath);
    assertServedAlike(fleet, cutAt + noticeMilliseconds);
    assertRuns(fleet);
    fleet.setLinks(cutRouter, "open");
    await delay(noticeMilliseconds);
    const healedAt = performance.now();
    await fleet.run(1_000, getPath);
    assertServedAlike(fleet, healedAt);
    assertRuns(fleet);
  });
}

test.run();
