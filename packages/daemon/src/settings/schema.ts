import { z } from "zod";

const listenerAddress = z
  .string()
  .regex(/^\d{1,3}(\.\d{1,3}){3}:\d{1,5}$/, "must be an IPv4 address and a port");

const seed = z
  .string()
  .regex(
    /^[a-z0-9][a-z0-9.-]{0,62}@\d{1,3}(\.\d{1,3}){3}:\d{1,5}$/,
    "must be the name of a daemon, '@', an IPv4 address and a port",
  );

const minPeerKeyCharacters = 32;

/**
 * Schema of a daemon's settings file. Port 0 selects a free port, which the log line of event
 * `daemon.listening` reports.
 */
export const settingsSchema = z.strictObject({
  process: z.strictObject({
    /** Name of this host in the platform's host list. */
    name: z
      .string()
      .regex(/^[a-z0-9][a-z0-9.-]{0,62}$/, "must be 1 to 63 of a-z, 0-9, '.' and '-'"),
    /** Availability zone of this host. */
    zone: z.string().min(1),
  }),
  listeners: z.strictObject({
    callers: listenerAddress,
    peers: listenerAddress,
    datagrams: listenerAddress,
    operations: listenerAddress,
  }),
  platform: z.strictObject({ address: listenerAddress }),
  peers: z.strictObject({
    /** Shared secret that authenticates messages between daemons. */
    key: z.string().min(minPeerKeyCharacters),
    /** Daemons to contact if the platform cannot be read at start, as `NAME@ADDRESS:PORT`. */
    seeds: z.array(seed).default([]),
  }),
  limits: z
    .strictObject({
      /** Maximum size of a request body, in bytes. */
      bodyBytes: z.int().min(1024).max(67_108_864).default(1_048_576),
      /** Time limit of a request that has no deadline of its own, in milliseconds. */
      requestMilliseconds: z.int().min(100).max(3_600_000).default(120_000),
      /** Time limit of a graceful shutdown, in milliseconds. */
      drainMilliseconds: z.int().min(100).max(3_600_000).default(600_000),
      /** Time between reporting unready and closing the listener on a stop, in milliseconds. */
      unreadyMilliseconds: z.int().min(0).max(60_000).default(2_000),
    })
    .prefault({}),
  log: z
    .strictObject({ level: z.enum(["error", "warn", "info", "debug"]).default("info") })
    .prefault({}),
  experiments: z
    .strictObject({
      /** Guards that are switched off, to show that a test can fail. Never set in production. */
      disabledGuards: z.array(z.string()).default([]),
    })
    .prefault({}),
});

/** Validated settings of a daemon. */
export type Settings = z.infer<typeof settingsSchema>;
