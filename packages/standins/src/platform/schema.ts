import { hostListSchema } from "@pistachioway/kernel";
import { z } from "zod";

/** Options of the platform stand-in. */
export const platformOptionsSchema = z.strictObject({
  name: z.string().default("platform"),
  port: z.int().min(0).max(65_535).default(0),
  /** Read calls allowed per second; a long-polling watch counts as one. */
  callsPerSecond: z.int().min(1).default(2000),
});

/** Query of the read calls: waits up to `wait` milliseconds for a revision other than `after`. */
export const readQuerySchema = z.object({
  after: z.coerce.number().int().optional(),
  wait: z.coerce.number().int().min(0).max(120_000).default(0),
});

export const hostSchema = hostListSchema.shape.hosts.element;
export const hostsSchema = hostListSchema.shape.hosts;

/** How read calls respond: normally, with 503, or by resetting the connection. */
export const availabilitySchema = z.enum(["up", "refuse", "reset"]);
export const downSchema = z.strictObject({
  mode: availabilitySchema.exclude(["up"]).default("reset"),
});

/** Highest revisions to serve, in place of the newest ones. */
export const staleSchema = z.strictObject({
  configurationRevision: z.int().min(0).optional(),
  hostsRevision: z.int().min(0).optional(),
});

export const restoreSchema = z.strictObject({ revision: z.int().min(1) });

export type PlatformOptions = z.input<typeof platformOptionsSchema>;
export type PlatformSettings = z.output<typeof platformOptionsSchema>;
export type Availability = z.infer<typeof availabilitySchema>;
