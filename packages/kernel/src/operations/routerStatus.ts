import { z } from "zod";
import { upstreamSchema } from "../upstreams/index.js";

const upstreamStatusSchema = upstreamSchema.extend({
  /** Number of the daemon's requests in flight. */
  running: z.number(),
  /** The daemon's estimate of the number of all requests in flight at the upstream. */
  load: z.number(),
  /** True while the upstream is avoided because it fails, is unresponsive or cannot be reached. */
  isAvoided: z.boolean(),
  /** True once the upstream has announced that it leaves. */
  isLeaving: z.boolean().default(false),
  /** True while its zone is evacuated. */
  isEvacuated: z.boolean().default(false),
  /** Time for which the upstream wants no requests from the daemon. */
  restMilliseconds: z.number().default(0),
  /** Requests a second that it takes from all routers together; null without a limit. */
  limitPerSecond: z.number().nullable().default(null),
});

/** Status that a router reports to operators. */
export const routerStatusSchema = z.object({
  name: z.string(),
  zone: z.string(),
  incarnation: z.number(),
  isReady: z.boolean(),
  /** Version of the configuration in force; null without one. */
  version: z.number().nullable(),
  /** Time since that version was last known to be the newest; null when it never was. */
  ageMilliseconds: z.number().nullable(),
  /** Era of the registry; null when it states none. */
  era: z.number().nullable().default(null),
  /** Number of callers' requests in flight. */
  running: z.number(),
  /** Names of services none of whose upstreams the router reaches by itself. */
  unreachedServices: z.array(z.string()).default([]),
  /** Zones that operators have evacuated, as the router knows. */
  evacuatedZones: z.array(z.string()).default([]),
  /** Number of its requests in flight through each peer, by the peer's address. */
  forwarded: z.record(z.string(), z.number()).default({}),
  /** Number of peers' requests in flight that it has taken over. */
  takenOver: z.number().default(0),
  peers: z.array(z.object({ name: z.string(), version: z.number() })),
  upstreams: z.array(upstreamStatusSchema),
});

export type RouterStatus = z.infer<typeof routerStatusSchema>;
