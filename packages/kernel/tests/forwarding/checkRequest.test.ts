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

function check(age: number, path: string, key?: string, hasTable = true): string {
  const identity = { authority: "chat.example", path, key };
  const decision = checkRequest(hasTable ? table : undefined, age, identity, bounds);
  return decision.kind === "pass"
    ? `${decision.route.name}/${decision.team?.name ?? "-"}`
    : decision.reason;
}

test("accepts a known key and refuses unknown ones while the configuration is fresh", () => {
  assert.is(check(100, "/x", "k-1"), "r-1/callaloo");
  assert.is(check(100, "/x", "k-2"), "unknown-key");
  assert.is(check(100, "/x"), "unknown-key");
});

test("refuses every request without a configuration", () => {
  assert.is(check(Infinity, "/x", "k-1", false), "no-configuration");
});

test("refuses an unknown key as stale once a newer configuration may list it", () => {
  assert.is(check(2_001, "/x", "k-2"), "stale-configuration");
  assert.is(check(2_001, "/x", "k-1"), "r-1/callaloo");
});

test("refuses all keys once a known one may have been revoked; public routes stay open", () => {
  assert.is(check(4_801, "/x", "k-1"), "stale-configuration");
  assert.is(check(60_000, "/open/x"), "open/-");
});

test.run();
