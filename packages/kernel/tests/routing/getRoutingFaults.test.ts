import { getRoutingFaults, type RequestRoute, type Routing } from "@pistachioway/kernel";
import { suite } from "uvu";
import * as assert from "uvu/assert";

const test = suite("getRoutingFaults");

function createRoute(changes: Partial<RequestRoute> = {}): RequestRoute {
  return {
    name: "summaries",
    authority: "chat.example",
    prefix: "/summaries/",
    kind: "stream",
    timeoutMilliseconds: 1_000,
    goalMilliseconds: 100,
    priority: 0,
    targets: [{ service: "writer", weight: 1 }],
    maxAttempts: 1,
    isPublic: false,
    isSticky: true,
    isResumable: false,
    ...changes,
  };
}

function createRouting(changes: Partial<Routing> = {}): Routing {
  return {
    version: 3,
    routes: [createRoute()],
    services: [{ name: "writer", maxConnections: 8 }],
    teams: [{ name: "cork", keys: ["k-1"] }],
    limits: {
      headerBytes: 1,
      bodyBytes: 1,
      headerTimeoutMilliseconds: 1,
      idleTimeoutMilliseconds: 1,
    },
    ...changes,
  };
}

test("finds no faults in a consistent configuration", () => {
  assert.equal(getRoutingFaults(createRouting()), []);
});

test("finds routes to unlisted services, without a weight, and with the same address", () => {
  const routes = [
    createRoute(),
    createRoute({ name: "notes", targets: [{ service: "notes", weight: 0 }] }),
  ];
  assert.equal(getRoutingFaults(createRouting({ routes })), [
    'route "notes" sends to service "notes", which is not listed',
    'route "notes" has no target with a weight',
    'more than one route serves "chat.example/summaries/"',
  ]);
});

test("finds teams that hold the same key, and does not show the key", () => {
  const teams = [
    { name: "cork", keys: ["k-1", "k-1"] },
    { name: "limerick", keys: ["k-2", "k-1"] },
  ];
  assert.equal(getRoutingFaults(createRouting({ teams })), [
    'teams "cork" and "limerick" hold the same key',
  ]);
});

test.run();
