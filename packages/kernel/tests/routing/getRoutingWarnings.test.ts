import { getRoutingWarnings, type Routing } from "@pistachioway/kernel";
import { suite } from "uvu";
import * as assert from "uvu/assert";
import { createRoute, createRouting } from "./samples.js";

const test = suite("getRoutingWarnings");

function getDetails(changes: Partial<Routing>): readonly string[] {
  return getRoutingWarnings(createRouting(changes)).map(({ kind, detail }) => `${kind}: ${detail}`);
}

test("finds nothing in a consistent configuration", () => {
  assert.equal(getDetails({}), []);
});

// Guards against an operator who waits for an entry to take effect that no request can match.
test("finds entries that no request can match", () => {
  const routes = [
    createRoute({ name: "old", authority: "Chat.example:80" }),
    createRoute({ name: "new" }),
    createRoute({ name: "query", prefix: "/a?b/" }),
    createRoute({ name: "scheme", authority: "http://chat.example" }),
    createRoute({
      name: "split",
      prefix: "/split/",
      targets: [
        { service: "records", weight: 1 },
        { service: "spare", weight: 0 },
      ],
    }),
  ];
  const services = ["records", "spare"].map((name) => ({ name, maxConnections: 9 }));
  const teams = [
    { name: "callaloo", keys: ["k-1"] },
    { name: "cork", keys: [] },
  ];
  assert.equal(getDetails({ routes, services, teams }), [
    'unused: route "old" never matches, since route "new" has the same address',
    'unused: route "query" never matches, since no path contains "/a?b/"',
    'unused: route "scheme" never matches, since "http://chat.example" is no host name',
    'unused: route "split" sends nothing to service "spare", of weight 0',
    'unused: no route sends to service "spare"',
    'unused: team "cork" has no key, so that no request belongs to it',
  ]);
});

test("finds keys that no route needs", () => {
  assert.equal(getDetails({ routes: [createRoute({ isPublic: true })] }), [
    "unused: no route needs the keys of the teams, since all are public",
  ]);
});

// Guards against limits of which one can never be reached, so that requests end by another than the operator means.
test("finds limits that contradict each other", () => {
  const routes = [
    createRoute({ goalMilliseconds: 2_000, isResumable: true, isSticky: true, priority: 12 }),
  ];
  const engine = { slots: 64, cacheTokens: 1, canFetch: true };
  const services = [
    { name: "records", maxConnections: 9 },
    { name: "engines", maxConnections: 8, engine },
  ];
  const limits = { ...createRouting().limits, idleTimeoutMilliseconds: 500 };
  assert.equal(getDetails({ routes, services, limits }), [
    'unused: no route sends to service "engines"',
    'contradiction: the objective of route "r-1" of 2000 ms is later than its timeout of 1000 ms',
    'contradiction: route "r-1" is resumable, but its requests are no streams',
    'contradiction: route "r-1" is sticky, but sends to no service with engines',
    'contradiction: engines of service "engines" have 64 slots but accept 8 connections, and each request needs one',
    'contradiction: priority 12 of route "r-1" counts as 9',
    "contradiction: the idle time of a connection of 500 ms ends before the time for the head of a request of 3000 ms",
  ]);
});

test.run();
