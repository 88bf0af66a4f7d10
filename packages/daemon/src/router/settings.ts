import { z } from "zod";

const address = z
  .string()
  .regex(/^\d{1,3}(\.\d{1,3}){3}:\d{1,5}$/, "must be an IPv4 address and a port");

/** Schema of the settings file of a daemon that reads a registry. */
export const routerSettingsSchema = z.strictObject({
  process: z.strictObject({
    name: z.string().min(1),
    /** Availability zone of the host. */
    zone: z.string().min(1),
    /** Whether the whole installation starts for the first time; false for every later start of the process. */
    isFirstStart: z.boolean().default(false),
  }),
  listeners: z.strictObject({
    callers: address,
    /** For the load balancer's readiness checks. */
    readiness: address,
    /** For operators and peers. */
    operations: address,
    /** For metrics only; the listener for operators serves them too. */
    metrics: address.optional(),
    /** For heartbeats between daemons (UDP). */
    datagrams: address,
  }),
  registry: z.strictObject({
    address,
    /**
     * Daemons of a zone that read the registry, while the others follow one of them. All read where it is omitted, and in
     * zones of at most four daemons for each reader.
     */
    readersPerZone: z.int().min(1).optional(),
  }),
  peers: z
    .strictObject({
      /** Listeners of daemons that may be running; only the host of each is used. */
      seeds: z.array(address).default([]),
    })
    .prefault({}),
  configuration: z
    .strictObject({
      /** Age of the configuration beyond which an unknown route or key may be new, in milliseconds. */
      staleMilliseconds: z.int().min(100).max(60_000).default(2_600),
      /** Time after which a revoked key must no longer be accepted, in milliseconds. */
      revokeMilliseconds: z.int().min(1_000).max(600_000).default(5_000),
    })
    .prefault({}),
  retries: z
    .strictObject({
      /** Retries allowed per request of a service, over the whole fleet. */
      ratio: z.number().min(0).max(1).default(0.1),
      /** Retries allowed in a window in addition to the ratio, over the whole fleet. */
      slack: z.number().min(0).default(10),
      windowMilliseconds: z.int().min(1_000).max(600_000).default(10_000),
    })
    .prefault({}),
  /** How far the rate of a cold upstream may be exceeded; not at all when it is absent. */
  coldStart: z
    .strictObject({
      /** Factor of the rate that requests of all daemons may reach in any second. */
      excess: z.number().min(1).max(10),
      /** Requests in any second beyond the rate times the factor. */
      slack: z.number().min(0).max(1_000),
    })
    .optional(),
  work: z
    .strictObject({
      /**
       * Whether each service with engines is placed and judged by the work of its requests. Otherwise only services whose
       * upstreams report the slowdown of their hosts are.
       */
      isEnabled: z.boolean().default(false),
    })
    .prefault({}),
  pacing: z
    .strictObject({
      /** Whether upstreams that start or recover are sent more and more as they answer in time. */
      isEnabled: z.boolean().default(false),
    })
    .prefault({}),
  limits: z
    .strictObject({
      /** Time allowed for a planned stop, in milliseconds. */
      graceMilliseconds: z.int().min(1_000).max(3_600_000).default(8_000),
    })
    .prefault({}),
  log: z
    .strictObject({ level: z.enum(["error", "warn", "info", "debug"]).default("info") })
    .prefault({}),
});

export type RouterSettings = z.infer<typeof routerSettingsSchema>;
