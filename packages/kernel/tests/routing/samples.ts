import type { RequestRoute, Routing } from "@pistachioway/kernel";

/** Creates a route with default values. */
export function createRoute(changes: Partial<RequestRoute> = {}): RequestRoute {
  return {
    name: "r-1",
    authority: "chat.example",
    prefix: "/",
    kind: "idempotent",
    timeoutMilliseconds: 1_000,
    goalMilliseconds: 200,
    priority: 1,
    targets: [{ service: "records", weight: 1 }],
    maxAttempts: 2,
    isPublic: false,
    isSticky: false,
    isResumable: false,
    ...changes,
  };
}

/** Creates a routing configuration with default values. */
export function createRouting(changes: Partial<Routing> = {}): Routing {
  return {
    version: 1,
    routes: [createRoute()],
    services: [{ name: "records", maxConnections: 100 }],
    teams: [{ name: "callaloo", keys: ["k-1"] }],
    limits: {
      headerBytes: 16_384,
      bodyBytes: 1_048_576,
      headerTimeoutMilliseconds: 3_000,
      idleTimeoutMilliseconds: 15_000,
    },
    ...changes,
  };
}
