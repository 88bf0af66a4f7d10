import { checkRequest, RouteTable } from "@pistachioway/kernel";
import { suite } from "uvu";
import * as assert from "uvu/assert";
import { createRoute, createRouting } from "../routing/samples.js";

const test = suite("checkRequest");

const bounds = { staleMilliseconds: 2_000, failClosedMilliseconds: 4_800 };
const table = RouteTable.create(
  createRouting({
    routes: [createRoute(), createRoute({ name: "open", prefix: "/open/", isPublic: true })],
  }),
);

function check(age: number, path: string, key?: string, known = true): string {
  const identity = { authority: "chat.example", path, key };
  const verdict = checkRequest(known ? table : undefined, age, identity, bounds);
  return verdict.kind === "pass"
    ? `${verdict.route.name}/${verdict.team?.name ?? "-"}`
    : verdict.reason;
}

test("serves a known key, and refuses unknown ones and unknown routes while it is fresh", () => {
  assert.is(check(100, "/x", "k-1"), "r-1/callaloo");
  assert.is(check(100, "/x", "k-2"), "unknown-key");
  assert.is(check(100, "/x"), "unknown-key");
});

test("knows nothing without a configuration", () => {
  assert.is(check(Infinity, "/x", "k-1", false), "no-configuration");
});

test("says that it does not know, once a key may be new", () => {
  assert.is(check(2_001, "/x", "k-2"), "stale-configuration");
  assert.is(check(2_001, "/x", "k-1"), "r-1/callaloo");
});

test("takes no key any more before a revoked one would run too late", () => {
  assert.is(check(4_801, "/x", "k-1"), "stale-configuration");
  assert.is(check(60_000, "/open/x"), "open/-");
});

test.run();
