import { decideRetry, type AttemptEnd, type RequestRoute } from "@pistachioway/kernel";
import { suite } from "uvu";
import * as assert from "uvu/assert";
import { createRoute } from "../routing/samples.js";

const test = suite("decideRetry");

const ends: readonly AttemptEnd[] = ["notSent", "refused", "lost", "late", "failed"];
const stream = { kind: "stream", maxAttempts: 3 } as const;
const routes: Readonly<Record<string, RequestRoute>> = {
  idempotent: createRoute({ maxAttempts: 3 }),
  nonIdempotent: createRoute({ kind: "nonIdempotent", maxAttempts: 3 }),
  stream: createRoute(stream),
  resumableStream: createRoute({ ...stream, isResumable: true }),
};

function decide(route: RequestRoute, end: AttemptEnd, changes = {}, hasBudget = true): string {
  const isNotRun = end === "notSent" || end === "refused";
  const progress = {
    runs: isNotRun ? 0 : 1,
    refusals: isNotRun ? 1 : 0,
    remainingMilliseconds: 500,
  };
  return decideRetry(route, end, { ...progress, ...changes }, () => hasBudget);
}

test("sends a request that may have run again only if it may run twice", () => {
  const table = Object.entries(routes).map(([name, route]) => [
    name,
    ends.filter((end) => decide(route, end) === "retry").join(" "),
  ]);
  assert.equal(Object.fromEntries(table), {
    idempotent: "notSent refused lost late failed",
    nonIdempotent: "notSent refused",
    stream: "notSent refused",
    resumableStream: "notSent refused lost late failed",
  });
});

test("stops after the route's attempts, after three refusals, and when no time is left", () => {
  const route = createRoute({ maxAttempts: 2 });
  assert.is(decide(route, "lost", { runs: 2 }), "giveUp");
  assert.is(decide(route, "refused", { refusals: 3 }), "giveUp");
  assert.is(decide(route, "lost", { remainingMilliseconds: 10 }), "giveUp");
});

test("needs budget to send a request again that reached an upstream", () => {
  const route = createRoute({ maxAttempts: 3 });
  const allowed = ends.filter((end) => decide(route, end, {}, false) === "retry");
  assert.equal(allowed, ["notSent"]);
});

test.run();
