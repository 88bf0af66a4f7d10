import { z } from "zod";
import { upstreamSchema } from "../upstreams/index.js";

const upstreamStatusSchema = upstreamSchema.extend({
  /** Requests of the daemon in flight. */
  running: z.number(),
  /** The daemon's estimate of all requests that the upstream holds. */
  load: z.number(),
  /** Left alone, since it fails, is silent or cannot be reached. */
  isAvoided: z.boolean(),
});

/** What a router tells operators of itself. */
export const routerStatusSchema = z.object({
  name: z.string(),
  zone: z.string(),
  incarnation: z.number(),
  isReady: z.boolean(),
  /** Version of the configuration in force; null without one. */
  version: z.number().nullable(),
  /** Time since that version was last known to be the newest; null when it never was. */
  ageMilliseconds: z.number().nullable(),
  /** Requests of callers in flight. */
  running: z.number(),
  peers: z.array(z.object({ name: z.string(), version: z.number() })),
  upstreams: z.array(upstreamStatusSchema),
});

export type RouterStatus = z.infer<typeof routerStatusSchema>;
