import { z } from "zod";

const name = z
  .string()
  .regex(/^[a-z0-9][a-z0-9.-]{0,62}$/, "must be 1 to 63 of a-z, 0-9, '.' and '-'");

/** Largest configuration file, in bytes of UTF-8. */
export const maxConfigurationBytes = 1_048_576;

/** Maximum number of items of one kind, such as engines or teams. */
export const maxConfigurationItems = 20_000;

const zoneSchema = z.strictObject({ name, region: name });

const modelSchema = z.strictObject({
  name,
  version: z.string().min(1),
  adapters: z.array(name).default([]),
});

const engineSchema = z.strictObject({
  name,
  zone: name,
  /** Names of the models that the engine serves. */
  models: z.array(name).min(1),
  /** Adapters that the engine serves; all adapters of its models when absent. */
  adapters: z.array(name).optional(),
  /** Concurrent requests that the engine batches. */
  slots: z.int().min(1).max(4096).default(32),
  /** Share of load relative to other engines. */
  weight: z.number().positive().max(1000).default(1),
  /** True when the engine refuses an order with an outdated fencing token. */
  checksFencing: z.boolean().default(false),
  role: z.enum(["serve", "prefill", "decode", "standby"]).default("serve"),
});

const routeSchema = z.strictObject({
  method: z.enum(["GET", "HEAD", "POST", "PUT", "PATCH", "DELETE"]),
  /** Path prefix below the service, beginning with a slash. */
  path: z.string().startsWith("/"),
  /** True when the call is idempotent and may be sent again. */
  repeatable: z.boolean(),
});

const serviceHostSchema = z.strictObject({ name, zone: name });

const serviceSchema = z.strictObject({
  name,
  hosts: z.array(serviceHostSchema).min(1),
  /** The longest matching prefix decides; a call that matches none is not repeatable. */
  routes: z.array(routeSchema).default([]),
});

const teamSchema = z.strictObject({
  name,
  /** SHA-256 of the bearer token, in lower-case hexadecimal. */
  tokenSha256: z.string().regex(/^[0-9a-f]{64}$/, "must be 64 lower-case hexadecimal digits"),
  /** Larger values are served first. */
  priority: z.int().min(0).max(9).default(5),
  /** Share of capacity relative to other teams. */
  share: z.number().positive().max(1000).default(1),
  /** Maximum number of concurrent requests of the team across the fleet. */
  maxConcurrent: z.int().min(1).max(1_000_000).default(1000),
});

const loadSchema = z.strictObject({
  /** Largest load of an engine, as a multiple of the mean. */
  bound: z.number().min(1.05).max(10).default(1.25),
});

const retriesSchema = z.strictObject({
  /** Retries allowed per request, averaged over many requests. */
  budgetRatio: z.number().min(0).max(1).default(0.1),
});

const weightStoreSchema = z.strictObject({
  /** Model loads per minute that the weight store allows across the fleet. */
  loadsPerMinute: z.number().positive().max(10_000).default(6),
});

/** The complete configuration file, as operators publish it. */
export const configurationSchema = z.strictObject({
  /** Increased by the operator when the configuration service was restored or wiped. */
  generation: z.int().min(1).default(1),
  load: loadSchema.default({ bound: 1.25 }),
  retries: retriesSchema.default({ budgetRatio: 0.1 }),
  weightStore: weightStoreSchema.default({ loadsPerMinute: 6 }),
  zones: z.array(zoneSchema).min(1),
  models: z.array(modelSchema).min(1),
  engines: z.array(engineSchema).min(1),
  services: z.array(serviceSchema).default([]),
  teams: z.array(teamSchema).min(1),
});

export type Configuration = z.infer<typeof configurationSchema>;
export type Zone = z.infer<typeof zoneSchema>;
export type Model = z.infer<typeof modelSchema>;
export type Engine = z.infer<typeof engineSchema>;
export type Service = z.infer<typeof serviceSchema>;
export type Route = z.infer<typeof routeSchema>;
export type Team = z.infer<typeof teamSchema>;
export type ServiceHost = z.infer<typeof serviceHostSchema>;
