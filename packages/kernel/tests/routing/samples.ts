import type { RequestRoute, Routing } from "@pistachioway/kernel";

/** Creates a route with the usual values. */
export function createRoute(part: Partial<RequestRoute> = {}): RequestRoute {
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
    ...part,
  };
}

/** Creates a configuration with the usual values. */
export function createRouting(part: Partial<Routing> = {}): Routing {
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
    ...part,
  };
}
